/* The daemon process.  It runs four tasks, each in a thread with its own sockets and state.  They
 * communicate by mailboxes.
 *
 *   entry     serves callers and operators over HTTP, coordinates searches, issues tickets
 *   targets   holds the connections to targets and dispatches the calls of the cells that this
 *             daemon owns
 *   control   exchanges membership and objects with other daemons over ZeroMQ, and runs the
 *             controllers
 *   platform  calls the platform's object API */
#pragma once

#include "settings.h"

/* Runs until SIGTERM or SIGINT starts a graceful shutdown, and returns when that is complete.
 * Returns an error immediately if a task cannot start. */
MrStatus mr_daemon_run (const MrSettings *settings);
