/** HTTP requests of single attempts: to model engines, which answer with server-sent events, and to plain services. */
package org.yuccagw.adapters.engine;
