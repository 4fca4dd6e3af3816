/**
 * Endpoint state, merged from the platform's list, the endpoints' own reports, the catalogue and traffic, to determine
 * which endpoints accept new work.
 */
package org.yuccagw.core.endpoint;
