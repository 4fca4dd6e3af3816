/**
 * Value types for ids and names. With distinct types the compiler rejects an id of the wrong kind.
 *
 * <p>Types that are used as map keys define {@code equals} and {@code hashCode} explicitly. The implicit methods of a
 * record are linked at their first call, which takes some milliseconds per type on a small VM. That would happen at the
 * start of an entry, while callers wait for it.
 */
package org.yuccagw.core.id;
