/** The admin address: the HTTP API for operators, health checks and metrics. */
package org.yuccagw.adapters.admin;
