/** Which endpoint runs a request, whether it may be sent again, and when it is refused. */
package org.yuccagw.core.placing;
