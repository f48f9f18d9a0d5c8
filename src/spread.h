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

typedef struct _MrSpread MrSpread;
typedef struct _MrSpreadHost MrSpreadHost;

struct _MrSpreadHost
{
  /* Sends @bytes, which it takes, to the member @name. */
  void (*send) (MrSpreadHost *host, const char *name, GString *bytes);
  /* Names of up to MR_NEIGHBOURS_MAX members to tell; returns how many. */
  guint (*neighbours) (MrSpreadHost *host, const char **names);
  /* @object has just been taken. */
  void (*taken) (MrSpreadHost *host, const MrObject *object);
};

MrSpread *mr_spread_new (MrSpreadHost *host, MrRegistry *registry, const char *self);
void mr_spread_free (MrSpread *spread);

/* An object from the platform or, with @from, from a peer. */
MrOffer mr_spread_offer (MrSpread *spread,
                         MrObjectKind kind,
                         MrText name,
                         guint64 version,
                         MrText body,
                         const char *from);

/* Messages NEWS, GET, OBJECTS, LIST and RANGES of a peer. */
void mr_spread_receive (MrSpread *spread, MrTime now, const MrWireMessage *message);

/* Asks @name for the list of all that it holds, unless one has come already. */
void mr_spread_ask (MrSpread *spread, MrTime now, const char *name);

/* A heartbeat of @from carried @digest; @starts: it may lack a part of what there is. */
void
mr_spread_digest (MrSpread *spread, MrTime now, const char *from, guint64 digest, gboolean starts);

/* Tells what has been gathered.  Returns when to come back; MR_NEVER if there is
 * nothing to tell. */
MrTime mr_spread_tick (MrSpread *spread, MrTime now);

/* This daemon holds all that there is: it has read the platform, or what a peer holds.
 * Until then it sends nobody its whole list, which would be taken for all. */
void mr_spread_set_complete (MrSpread *spread);

/* TRUE while the objects of a peer's list come in. */
gboolean mr_spread_is_fetching (const MrSpread *spread, MrTime now);

/* TRUE once a peer with objects had the same digest as ours. */
gboolean mr_spread_synced (const MrSpread *spread);
