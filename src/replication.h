/* Spread of objects between daemons: versions are told, bodies are fetched.
 *
 * A daemon that learns new versions tells its neighbours, a few milliseconds' worth
 * in one message; who lacks some asks the teller for the bodies.  Heartbeats carry a
 * digest of all versions.  Two daemons whose digests differ for longer than news take
 * narrow down what it is that differs, by digests of ranges, so what a lost message
 * left out is made good.  The platform is asked by a few daemons only. */
#pragma once

#include "clock.h"
#include "registry.h"
#include "wire.h"

typedef struct _MrReplication MrReplication;
typedef struct _MrReplicationHost MrReplicationHost;

struct _MrReplicationHost
{
  /* Sends @bytes, which it takes, to the member @name. */
  void (*send) (MrReplicationHost *host, const char *name, GString *bytes);
  /* Names of up to MR_NEIGHBOURS_MAX members to tell; returns how many. */
  guint (*neighbours) (MrReplicationHost *host, const char **names);
  /* @object has just been taken. */
  void (*updated) (MrReplicationHost *host, const MrObject *object);
};

MrReplication *mr_replication_new (MrReplicationHost *host, MrRegistry *registry, const char *self);
void mr_replication_free (MrReplication *spread);

/* An object from the platform or, with @from, from a peer. */
MrOfferResult mr_replication_offer (MrReplication *spread,
                                    MrObjectKind kind,
                                    MrText name,
                                    guint64 version,
                                    MrText body,
                                    const char *from);

/* Messages NEWS, GET, OBJECTS, LIST and RANGES of a peer. */
void mr_replication_receive (MrReplication *spread, MrTime now, const MrWireMessage *message);

/* Asks @name for the list of all that it holds, unless one has come already. */
void mr_replication_request_list (MrReplication *spread, MrTime now, const char *name);

/* A heartbeat of @from carried @digest; @starts: it may lack a part of what there is. */
void mr_replication_receive_digest (
    MrReplication *spread, MrTime now, const char *from, guint64 digest, gboolean starts);

/* Tells what has been gathered.  Returns when to come back; MR_NEVER if there is
 * nothing to tell. */
MrTime mr_replication_tick (MrReplication *spread, MrTime now);

/* This daemon holds all that there is: it has read the platform, or what a peer holds.
 * Until then it sends nobody its whole list, which would be taken for all. */
void mr_replication_set_complete (MrReplication *spread);

/* TRUE while the objects of a peer's list come in. */
gboolean mr_replication_is_fetching (const MrReplication *spread, MrTime now);

/* TRUE once a peer with objects had the same digest as ours. */
gboolean mr_replication_is_synced (const MrReplication *spread);
