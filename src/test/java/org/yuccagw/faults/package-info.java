/** Test support: a small TCP proxy that simulates network faults on command. */
package org.yuccagw.faults;
