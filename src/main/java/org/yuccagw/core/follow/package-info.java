/** Follows the keys of the platform's key-value service, by watches or through other entries. */
package org.yuccagw.core.follow;
