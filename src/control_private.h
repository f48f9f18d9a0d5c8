/* Inside of the control task, shared by its files:
 *   control_task.c      the loop, members, the view
 *   control_peers.c     messages of other daemons
 *   control_platform.c  watches, the controller's reads and writes */
#pragma once

#include "control_task.h"
#include "controller.h"
#include "joining.h"
#include "listing.h"
#include "message.h"
#include "peer_link.h"
#include "spread.h"
#include "watch.h"
#include <stdatomic.h>

/* The calls that are repeated at the platform. */
enum
{
  WATCH_ACCEPTED,
  WATCH_SHARD_MAPS,
  WATCH_DOCUMENTS, /* watchers only */
  WATCH_VMS,
  WATCH_CONFIGURATION, /* of a relay, as all that follow */
  WATCH_TARGETS,
  WATCHES,
};

struct _MrControlTask
{
  MrMembershipHost membership_host;
  MrSpreadHost spread_host;
  MrControllerHost controller_host;
  const MrSettings *settings;
  guint64 incarnation;
  int wake_fd;
  atomic_bool stop;
  MrMailbox *box;
  MrMailbox *entry;
  MrMailbox *targets;
  MrMailbox *platform;
  MrPeerLink *link;
  MrRegistry *registry;
  MrMembership *membership;
  MrSpread *spread;
  MrController *controller;
  MrMemberList *members; /* as published last */
  GRand *random;
  GHashTable *maps; /* service -> GQueue of MrShardMap, newest first */
  MrWatch watches[WATCHES];
  GArray *seeds; /* MrMember from the settings */
  gboolean relay;
  MrListing *listing;             /* of targets */
  MrConfiguration *configuration; /* of routes */
  GHashTable *records;            /* target id -> MrTargetRecord */
  gboolean members_changed;
  gboolean view_changed;
  gboolean ready;
  gboolean platform_up;
  MrTime started;
  MrJoining joining; /* of a relay */
  MrTime prune_at;
  MrTime traffic_at; /* when the next log line of traffic is due */
};

#define TASK_OF(host, member)                                                                      \
  ((MrControlTask *) (void *) ((char *) (host) -offsetof (MrControlTask, member)))

/* Sends @bytes, which it takes, to the member @name. */
void mr_control_send (MrControlTask *task, const char *name, GString *bytes);

/* Known generations of a service's shard map, newest first. */
GQueue *mr_control_maps (MrControlTask *task, const char *service);

/* Reads what other daemons have sent. */
void mr_control_receive (MrControlTask *task);

/* Sets how the controller reaches the platform. */
void mr_control_platform_init (MrControlTask *task);

/* Starts the calls that are due; lowers @next to when to come back. */
void mr_control_platform_tick (MrControlTask *task, MrTime now, MrTime *next);
/* Believes removals of targets that are due. */
void mr_control_platform_removals (MrControlTask *task, MrTime now, MrTime *next);
void mr_control_platform_result (MrControlTask *task, const MrPlatformResult *result);
