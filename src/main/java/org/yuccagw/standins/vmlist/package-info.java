/** Stand-in for the platform's list of VMs, which shows changes with a lag. */
package org.yuccagw.standins.vmlist;
