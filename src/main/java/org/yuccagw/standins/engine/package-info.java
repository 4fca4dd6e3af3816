/** Stand-in for the model engine: a cost model in virtual time and an HTTP service that runs it in real time. */
package org.yuccagw.standins.engine;
