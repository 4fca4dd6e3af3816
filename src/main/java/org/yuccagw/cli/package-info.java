/** The command-line tool, with one class per subcommand. */
package org.yuccagw.cli;
