/**
 * The adapter for the users' platform and the only package that contains the platform's names: headers, calls, keys,
 * fields and terms. It decodes incoming data into types of the core and encodes outgoing data. It makes no
 * decisions about requests and stores no state of the core.
 */
package org.yuccagw.platform;
