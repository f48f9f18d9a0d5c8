/* Internal interface of the control task:
 *   control_task.c        event loop, members, objects
 *   control_view.c        views published to the other tasks
 *   control_peers.c       messages from other daemons
 *   control_platform.c    watches and the controller's reads and writes
 *   control_evidence.c    quarantine evidence: announced, saved, expired
 *   control_evacuation.c  failure domains whose targets get no new work
 *   control_start.c       objects read from the store at startup
 *   control_era.c         what changes when the store comes back from a copy */
#pragma once

#include "backup_watcher.h"
#include "bootstrap.h"
#include "control_task.h"
#include "controller.h"
#include "peer_link.h"
#include "quarantine.h"
#include "removal_filter.h"
#include "replication.h"
#include "roster.h"
#include "target_table.h"
#include "task_message.h"
#include "watch.h"
#include <stdatomic.h>

/* Calls that are repeated at the platform. */
enum
{
  WATCH_ACCEPTED,
  WATCH_SHARD_MAPS,
  WATCH_DOCUMENTS, /* by daemons that watch only */
  WATCH_VMS,
  WATCH_CONFIGURATION, /* by relays only, like WATCH_TARGETS */
  WATCH_TARGETS,
  WATCH_EVIDENCE,
  WATCH_EVACUATIONS,
  WATCH_COUNT,
};

/* TRUE for the watches of quarantines and evacuations, which restrict where calls may go. */
static inline gboolean
mr_control_is_restriction (int watch)
{
  return watch == WATCH_EVIDENCE || watch == WATCH_EVACUATIONS;
}

/* A version of an object that is to be offered later. */
typedef struct
{
  MrObjectKind kind;
  char *name;
  guint64 version;
  GString *body;
  MrTime due; /* 0: not set */
} MrDeferredOffer;

MrDeferredOffer *
mr_deferred_offer_new (MrObjectKind kind, const char *name, guint64 version, MrText body);
void mr_deferred_offer_free (gpointer deferred);

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
  gboolean ack_on_connection; /* answer the current heartbeat on its connection */
  MrRegistry *registry;
  MrMembership *membership;
  MrReplication *replication;
  MrController *controller;
  MrRoster *roster;
  GHashTable *members_to_publish;  /* relays: names of changed members */
  MrMemberList *published_members; /* last published list; not used by relays */
  GRand *random;
  GHashTable *shard_maps; /* service -> GQueue of MrShardMap, newest first */
  MrWatch watches[WATCH_COUNT];
  GArray *seeds; /* MrMember from the settings */
  gboolean relay;
  MrRemovalFilter *removal_filter;          /* of targets */
  MrConfiguration *configuration;           /* routes and services in force */
  char configuration_name[MR_NAME_MAX + 1]; /* of its object; "": none known */
  guint64 configuration_object_version;     /* in the registry, of the object last applied */
  MrTargetTable *target_table;              /* targets in force */
  gboolean members_changed;
  gboolean view_changed;
  gboolean ready;
  gboolean platform_up;
  MrTime start_time;
  MrBootstrap bootstrap;            /* relays only */
  GPtrArray *deferred_offers;       /* MrDeferredOffer: until the restrictions are known */
  MrTime defer_until;               /* end of the wait for the restrictions; 0: not set */
  gboolean deferral_over;           /* nothing is deferred any more */
  gboolean restriction_call_failed; /* since everything else was read */
  guint64 store_era;                /* highest one seen in an answer or a version; 0: none */
  MrBackupWatcher backup_watcher;   /* relays only */
  gboolean watches_platform;        /* as of the last tick */
  gboolean reads_alone;     /* no other daemon is known to read the store in its current era */
  gboolean reads_again;     /* the targets have not been read yet since the store came back */
  GHashTable *held_entries; /* "<kind>/<name>" -> MrDeferredOffer */
  MrTime next_link_prune;
  MrTime next_traffic_log; /* when to log the next traffic line */
  MrQuarantine *quarantine;
  GHashTable *saved_evidence;         /* content -> MrSavedEvidence: the store's copies */
  MrTime next_evidence_check;         /* when to look for evidence to save or to expire */
  GHashTable *listed_evacuations;     /* names in the current full listing */
  guint64 evacuation_listing_version; /* version at which the current listing was taken */
};

/* The store's copy of the evidence against one content. */
typedef struct
{
  guint64 evidence;       /* packed; 0: none */
  guint64 version;        /* of the stored object */
  gboolean write_pending; /* a write has been sent and not yet answered */
  MrTime retry_at;
} MrSavedEvidence;

#define TASK_OF(host, member)                                                                      \
  ((MrControlTask *) (void *) ((char *) (host) -offsetof (MrControlTask, member)))

/* Updates the roster with @member, which is new or has changed. */
void mr_control_view_update_member (MrControlTask *task, const MrMember *member);
/* Publishes the changes since the last call to the other tasks. */
void mr_control_view_publish (MrControlTask *task);

void mr_control_evidence_init (MrControlTask *task);
void mr_control_evidence_clear (MrControlTask *task);
/* Merges evidence that this daemon's own requests have produced. */
void mr_control_evidence_found (MrControlTask *task, const MrEvidenceMessage *message);
/* Applies a new version of object @name, which encodes the evidence. The object may be removed
 * by this call. */
void mr_control_evidence_updated (MrControlTask *task, const char *name, guint64 version);
/* Merges the state of @object at the store; a deleted one lifts the quarantine. */
void mr_control_evidence_read_from_store (MrControlTask *task, const MrPlatformObject *object);
/* Handles the result of a write of evidence. */
void mr_control_evidence_written (MrControlTask *task, MrTime now, const MrPlatformResult *result);
/* Forgets which evidence the store holds, so that what it lacks is written again. */
void mr_control_evidence_forget_saved (MrControlTask *task);
void mr_control_evidence_tick (MrControlTask *task, MrTime now, MrTime *next);

/* Applies the state of the evacuation @object at the store; a deleted one ends the evacuation.
 * @full: the object is part of a full listing. */
void mr_control_evacuation_read_from_store (MrControlTask *task,
                                            gboolean full,
                                            const MrPlatformObject *object);
/* Begins and ends a full listing of evacuations, taken at @version. Ending it ends the
 * evacuations that the listing lacks. */
void mr_control_evacuation_begin_listing (MrControlTask *task, guint64 version);
void mr_control_evacuation_end_listing (MrControlTask *task);
/* Logs a new version of an evacuation, and ends one that the store has lost. */
void mr_control_evacuation_updated (MrControlTask *task, const MrObject *object);

void mr_control_start_init (MrControlTask *task);
void mr_control_start_clear (MrControlTask *task);
/* Offers @object from the store, or defers the offer until quarantines and evacuations are
 * known. */
void
mr_control_start_offer (MrControlTask *task, MrObjectKind kind, const MrPlatformObject *object);
/* Reports that a call of watch @index, for quarantines or evacuations, has failed. */
void mr_control_start_restriction_failed (MrControlTask *task, MrTime now, int index);
/* TRUE once no object from the store has to be deferred any more. */
gboolean mr_control_start_is_complete (const MrControlTask *task);
/* For a daemon that is no relay: TRUE once it has read quarantines and evacuations, or has
 * waited DEFERRAL_MAX for them while everything else was available (@others_read). */
gboolean mr_control_start_may_serve (MrControlTask *task, MrTime now, gboolean others_read);
void mr_control_start_tick (MrControlTask *task, MrTime now, MrTime *next);

void mr_control_era_init (MrControlTask *task);
void mr_control_era_clear (MrControlTask *task);
/* Begins @era, which is higher than the known one: what was read in earlier ones is read again. */
void mr_control_era_begin (MrControlTask *task, MrTime now, guint64 era);
/* Returns FALSE if @result was given in an earlier era than the known one. Begins a later one. */
gboolean
mr_control_era_is_current (MrControlTask *task, MrTime now, const MrPlatformResult *result);
/* Takes note of a version that a peer has announced. */
void mr_control_era_seen_at_peer (MrControlTask *task, MrObjectKind kind, guint64 version);
/* Adds the current era to all versions in @result. */
void mr_control_era_add_to_versions (const MrControlTask *task, MrPlatformResult *result);
/* Holds back a version of a target or an evacuation that a restored store may list in an outdated
 * state; FALSE if it is to be offered now. */
gboolean mr_control_era_hold (
    MrControlTask *task, MrObjectKind kind, const char *name, guint64 version, MrText body);
gboolean mr_control_era_is_held (const MrControlTask *task, MrObjectKind kind, const char *name);
/* Drops the held entry of this name, if any, because the object has changed since. */
void mr_control_era_release (MrControlTask *task, MrObjectKind kind, const char *name);
/* Logs what the first full listing of targets since a restore has shown. */
void mr_control_era_targets_read (MrControlTask *task, guint missing);
/* Drops all held entries of @kind, because a full listing replaces them. */
void mr_control_era_release_kind (MrControlTask *task, MrObjectKind kind);
/* Offers the held entries once they are due. */
void mr_control_era_tick (MrControlTask *task, MrTime now, MrTime *next);

/* TRUE if this daemon holds watches at the platform for others. */
gboolean mr_control_is_watcher (const MrControlTask *task);

/* Sends @request to the platform. Takes ownership of @request. */
void mr_control_platform_request (MrControlTask *task, MrPlatformRequest *request);

/* Sends @bytes to the member @name. Takes ownership of @bytes. */
void mr_control_send (MrControlTask *task, const char *name, GString *bytes);

/* Returns the known generations of a service's shard map, newest first. */
GQueue *mr_control_shard_maps (MrControlTask *task, const char *service);

/* Handles the messages that other daemons have sent. */
void mr_control_receive (MrControlTask *task);
/* Asks a member for the version of the configuration object that it holds. */
void mr_control_send_version_query (MrControlTask *task, const MrVersionQueryMessage *query);

/* Connects the controller to the platform and sets the pauses of the watches. */
void mr_control_platform_init (MrControlTask *task);

/* Starts the calls that are due and lowers @next to the time of the next one. */
void mr_control_platform_tick (MrControlTask *task, MrTime now, MrTime *next);
/* Applies the removals of targets that are due and lowers @next to the time of the next one. */
void mr_control_platform_apply_removals (MrControlTask *task, MrTime now, MrTime *next);
/* Adds the store's era to the versions in @result. */
void mr_control_platform_result (MrControlTask *task, MrTime now, MrPlatformResult *result);
