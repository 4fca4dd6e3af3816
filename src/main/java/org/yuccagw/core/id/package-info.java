/**
 * Value types for everything that has a name or a number, so that no two of them are mixed up.
 *
 * <p>Those that are keys of maps write out {@code equals} and {@code hashCode}. The ones that a record has by itself
 * are linked when they are first called, some milliseconds each on a small VM, and that is at the start of an entry,
 * while callers wait for it.
 */
package org.yuccagw.core.id;
