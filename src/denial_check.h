/* Decides when a request with an unknown key is denied.
 *
 * Callers do not retry after 401, and this daemon's configuration may lack a key that was added
 * a moment ago.  Before a request is denied, another daemon is asked for the version of the
 * configuration that it holds.  If that is newer, the request waits until the version is in force
 * here and its key is looked up again.  Only replies to queries that were sent after the request
 * arrived count.  At most one query is outstanding; it serves all requests that wait by then.
 *
 * A version is that of the configuration object in the registry (registry.h), which the store
 * assigns; the number inside the configuration (mr_configuration_version ()) is not used here.
 *
 * No network: time is passed in, and queries go out through the host.  docs/design/keys.md has
 * the reasons. */
#pragma once

#include "roster.h"
#include "startup_queue.h"

enum
{
  /* Limits memory to under 5 MB, at the maximum request size of 18 kB. */
  MR_DENIAL_WAITING_MAX = 256,
};

/* Time for one reply.  Two queries are sent for a request at most, so that it waits twice as long
 * at most. */
#define MR_DENIAL_REPLY_TIMEOUT (150 * MR_MS)
/* Time for a newer version to come into force here after a reply has named it. */
#define MR_DENIAL_VERSION_TIMEOUT (300 * MR_MS)
/* Minimum time between the first queries of two groups of requests.  Bounds the load on the asked
 * daemon while unknown keys arrive all the time. */
#define MR_DENIAL_QUERY_INTERVAL (20 * MR_MS)

typedef struct _MrDenialCheck MrDenialCheck;
typedef struct _MrDenialCheckHost MrDenialCheckHost;

typedef enum
{
  MR_DENIAL_ADMITTED,       /* a version that came into force meanwhile admits the request */
  MR_DENIAL_CONFIRMED,      /* another daemon holds no newer version: 401 */
  MR_DENIAL_NOT_IN_NEWER,   /* the newer version is in force, and lacks the key: 401 */
  MR_DENIAL_NO_DAEMON,      /* no other daemon is known: 401 */
  MR_DENIAL_NO_ANSWER,      /* neither of the asked daemons has answered: 401 */
  MR_DENIAL_VERSION_LATE,   /* a newer version exists and is not in force here in time: 503 */
  MR_DENIAL_QUEUE_OVERFLOW, /* too many requests wait, and this is the oldest: 503 */
  MR_DENIAL_RESULT_COUNT,
} MrDenialResult;

/* A request whose check has ended. */
typedef struct
{
  MrQueuedRequest request;
  MrDenialResult result;
  MrTime waited;
  guint queries; /* sent while the request waited */
} MrDenialOutcome;

/* Vtable; embedded in the host's own structure.  ended () may add requests. */
struct _MrDenialCheckHost
{
  /* Asks @daemon for its version; the reply, if any, goes to mr_denial_check_replied (). */
  void (*query) (MrDenialCheckHost *host, const char *daemon, guint64 number);
  /* Looks up the key of the request in the version in force; FALSE if it is still unknown. */
  gboolean (*look_up_again) (MrDenialCheckHost *host, const MrQueuedRequest *request);
  /* The check of a request has ended; the host takes over the request. */
  void (*ended) (MrDenialCheckHost *host, const MrDenialOutcome *outcome);
};

typedef struct
{
  const char *self;       /* name of this daemon; borrowed */
  const MrRoster *roster; /* borrowed */
  guint64 first_number;   /* of the queries; higher than those of earlier processes */
} MrDenialCheckOptions;

MrDenialCheck *mr_denial_check_new (MrDenialCheckHost *host, const MrDenialCheckOptions *options);
void mr_denial_check_free (MrDenialCheck *check);

/* Begins the check of a request whose key is not in the version in force.  It may end at once. */
void mr_denial_check_add (MrDenialCheck *check, MrTime now, const MrQueuedRequest *request);
/* Removes the request of a caller that disconnected; FALSE if it has none here. */
gboolean mr_denial_check_remove (MrDenialCheck *check, gconstpointer caller);

/* @version of the configuration is in force, or has been rejected in favour of the one that is. */
void mr_denial_check_set_version (MrDenialCheck *check, MrTime now, guint64 version);
/* A reply to query @number: the asked daemon holds @version; 0: none. */
void mr_denial_check_replied (MrDenialCheck *check, MrTime now, guint64 number, guint64 version);

/* Handles what is due; returns when to be called next. */
MrTime mr_denial_check_tick (MrDenialCheck *check, MrTime now);

guint mr_denial_check_waiting (const MrDenialCheck *check);

/* TRUE if the result denies the key, so that the caller gets 401 rather than 503. */
static inline gboolean
mr_denial_is_final (MrDenialResult result)
{
  return result >= MR_DENIAL_CONFIRMED && result <= MR_DENIAL_NO_ANSWER;
}

/* Name of a result for logs; does not change between versions. */
const char *mr_denial_result_name (MrDenialResult result);
