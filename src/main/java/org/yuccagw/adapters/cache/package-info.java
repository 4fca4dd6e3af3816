/** Executes the cache component's commands to engines and stores, over HTTP as in docs/design/platform-protocols.md. */
package org.yuccagw.adapters.cache;
