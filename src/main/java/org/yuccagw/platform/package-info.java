/**
 * The one place that knows how the users' platform spells things: headers, calls, keys, fields and words. It decodes
 * them once into types of the core and encodes on the way out. It decides nothing and keeps nothing.
 */
package org.yuccagw.platform;
