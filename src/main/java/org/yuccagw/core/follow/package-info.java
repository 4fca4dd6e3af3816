/** Follows what lies in the platform's key-value service, by watch or through peers. */
package org.yuccagw.core.follow;
