/* Inside of the control task, shared by its files:
 *   control_task.c      the loop, members, objects
 *   control_view.c      what the other tasks are told
 *   control_peers.c     messages of other daemons
 *   control_platform.c  watches, the controller's reads and writes
 *   control_evidence.c  contents that end targets: told, saved, forgotten
 *   control_evacuation.c  failure domains whose targets get no new work
 *   control_start.c     what is read from the store at a start */
#pragma once

#include "bootstrap.h"
#include "control_task.h"
#include "controller.h"
#include "message.h"
#include "peer_link.h"
#include "quarantine.h"
#include "removal_filter.h"
#include "replication.h"
#include "roster.h"
#include "target_table.h"
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
  WATCH_EVIDENCE,
  WATCH_EVACUATIONS,
  WATCH_COUNT,
};

/* TRUE for the watches that tell where calls must not go. */
static inline gboolean
mr_control_is_restriction (int watch)
{
  return watch == WATCH_EVIDENCE || watch == WATCH_EVACUATIONS;
}

typedef struct _MrDeferredOffer MrDeferredOffer;

struct _MrControlTask
{
  MrMembershipHost membership_host;
  MrReplicationHost replication_host;
  MrControllerHost controller_host;
  const MrSettings *settings;
  guint64 incarnation;
  int wake_fd;
  atomic_bool stop;
  MrMailbox *mailbox;
  MrMailbox *entry_mailbox;
  MrMailbox *target_mailbox;
  MrMailbox *platform_mailbox;
  MrPeerLink *link;
  gboolean
      ack_on_connection; /* by the heartbeat in hand, whose answer goes back by its connection */
  MrRegistry *registry;
  MrMembership *membership;
  MrReplication *replication;
  MrController *controller;
  MrRoster *roster;
  GHashTable *members_to_publish;  /* of a relay: names of members changed since they were told */
  MrMemberList *published_members; /* of the product's own dialect, as published last */
  GRand *random;
  GHashTable *shard_maps; /* service -> GQueue of MrShardMap, newest first */
  MrWatch watches[WATCH_COUNT];
  GArray *seeds; /* MrMember from the settings */
  gboolean relay;
  MrRemovalFilter *removal_filter; /* of targets */
  MrConfiguration *configuration;  /* of routes */
  MrTargetTable *target_table;     /* of targets */
  gboolean members_changed;
  gboolean view_changed;
  gboolean ready;
  gboolean platform_up;
  MrTime start_time;
  MrBootstrap bootstrap; /* of a relay */
  GPtrArray
      *deferred_offers;   /* MrHeldOffer: read at the start, until all that restricts is known */
  MrTime defer_until;     /* at most */
  gboolean deferral_over; /* nothing is held any more */
  gboolean restriction_call_failed; /* a call for them has failed since all else is read */
  MrTime next_link_prune;
  MrTime next_traffic_log; /* when the next log line of traffic is due */
  MrQuarantine *quarantine;
  GHashTable *saved_evidence;         /* content -> MrSavedEvidence: what the store holds */
  MrTime next_evidence_check;         /* next look at what is to be saved or forgotten */
  GHashTable *listed_evacuations;     /* names in the full listing under way */
  guint64 evacuation_listing_version; /* of that listing */
};

/* The store's copy of one content's evidence. */
typedef struct
{
  guint64 evidence;       /* packed; 0: none */
  guint64 version;        /* of the object */
  gboolean write_pending; /* a write is out */
  MrTime retry_at;
} MrSavedEvidence;

#define TASK_OF(host, member)                                                                      \
  ((MrControlTask *) (void *) ((char *) (host) -offsetof (MrControlTask, member)))

/* @member is new, or something about it has changed. */
void mr_control_view_update_member (MrControlTask *task, const MrMember *member);
/* Tells the other tasks what has changed since the last call. */
void mr_control_view_publish (MrControlTask *task);

void mr_control_evidence_init (MrControlTask *task);
void mr_control_evidence_clear (MrControlTask *task);
/* The requests of this daemon have shown something. */
void mr_control_evidence_found (MrControlTask *task, const MrEvidenceMessage *message);
/* The object @name has a new version, which is the evidence; it may be gone after. */
void mr_control_evidence_updated (MrControlTask *task, const char *name, guint64 version);
/* The store holds @object, or has lost it. */
void mr_control_evidence_read_from_store (MrControlTask *task, const MrPlatformObject *object);
/* The end of a write of ours. */
void mr_control_evidence_written (MrControlTask *task, MrTime now, const MrPlatformResult *result);
void mr_control_evidence_tick (MrControlTask *task, MrTime now, MrTime *next);

/* The store holds the evacuation @object, or has lost it. */
void mr_control_evacuation_read_from_store (MrControlTask *task, const MrPlatformObject *object);
/* A full listing of evacuations begins, at @version; has ended: what it does not name is
 * over. */
void mr_control_evacuation_begin_listing (MrControlTask *task, guint64 version);
void mr_control_evacuation_end_listing (MrControlTask *task);
/* The object has a new version. */
void mr_control_evacuation_updated (const MrObject *object);

void mr_control_start_init (MrControlTask *task);
void mr_control_start_clear (MrControlTask *task);
/* Offers @object, which the store holds, now or once quarantines and evacuations are
 * known. */
void
mr_control_start_offer (MrControlTask *task, MrObjectKind kind, const MrPlatformObject *object);
/* A call of watch @index, for quarantines or evacuations, has failed. */
void mr_control_start_restriction_failed (MrControlTask *task, MrTime now, int index);
/* TRUE once nothing that was read from the store is held back. */
gboolean mr_control_start_is_complete (const MrControlTask *task);
/* TRUE once a daemon of the product's own dialect has read quarantines and evacuations, or
 * has held all else (@rest) for as long as they are waited for. */
gboolean mr_control_start_may_serve (MrControlTask *task, MrTime now, gboolean rest);
void mr_control_start_tick (MrControlTask *task, MrTime now, MrTime *next);

/* Sends @request, which it takes, to the platform. */
void mr_control_platform_request (MrControlTask *task, MrPlatformRequest *request);

/* Sends @bytes, which it takes, to the member @name. */
void mr_control_send (MrControlTask *task, const char *name, GString *bytes);

/* Known generations of a service's shard map, newest first. */
GQueue *mr_control_shard_maps (MrControlTask *task, const char *service);

/* Reads what other daemons have sent. */
void mr_control_receive (MrControlTask *task);

/* Sets how the controller reaches the platform. */
void mr_control_platform_init (MrControlTask *task);

/* Starts the calls that are due; lowers @next to when to come back. */
void mr_control_platform_tick (MrControlTask *task, MrTime now, MrTime *next);
/* Believes removals of targets that are due. */
void mr_control_platform_apply_removals (MrControlTask *task, MrTime now, MrTime *next);
void mr_control_platform_result (MrControlTask *task, const MrPlatformResult *result);
