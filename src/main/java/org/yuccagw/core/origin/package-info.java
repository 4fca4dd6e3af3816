/**
 * Which software version began each stream. What two versions write doesn't fit together, so a stream may go on only at
 * the version that began it, whichever entry its caller comes back to.
 */
package org.yuccagw.core.origin;
