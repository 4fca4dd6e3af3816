/** HTTP over Undertow: the shared client, and reading and answering requests on the caller and admin addresses. */
package org.yuccagw.adapters.http;
