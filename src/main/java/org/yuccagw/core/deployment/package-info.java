/** The operators' configuration: routes, services, cache stores, workspaces and limits. Contains values only. */
package org.yuccagw.core.deployment;
