/** What operators configured: routes, services, cache stores, workspaces and limits. Values only. */
package org.yuccagw.core.deployment;
