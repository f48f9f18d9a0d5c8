/* Replication of objects between daemons: versions are announced, bodies are fetched.
 *
 * A daemon that learns of new versions announces them to its neighbours, batched over a few
 * milliseconds. A neighbour that lacks some of them fetches the bodies from the announcing
 * daemon. Heartbeats carry a digest of all versions. If the digests of two daemons differ for
 * longer than an announcement takes to arrive, they compare digests of hash ranges to find the
 * differing objects, which repairs the loss of messages. Only a few daemons read the platform. */
#pragma once

#include "clock.h"
#include "registry.h"
#include "wire.h"

typedef struct _MrReplication MrReplication;
typedef struct _MrReplicationHost MrReplicationHost;

struct _MrReplicationHost
{
  /* Sends @bytes to the member @name. Takes ownership of @bytes. */
  void (*send) (MrReplicationHost *host, const char *name, GString *bytes);
  /* Stores the names of up to MR_NEIGHBOURS_MAX members that receive announcements; returns
   * their count. */
  guint (*neighbours) (MrReplicationHost *host, const char **names);
  /* The registry has stored a new version of @object. */
  void (*updated) (MrReplicationHost *host, const MrObject *object);
  /* Returns TRUE if an object from a peer must not be stored yet; the host offers it later. NULL:
   * none is deferred. */
  gboolean (*defers) (
      MrReplicationHost *host, MrObjectKind kind, MrText name, guint64 version, MrText body);
};

MrReplication *mr_replication_new (MrReplicationHost *host, MrRegistry *registry, const char *self);
void mr_replication_free (MrReplication *replication);

/* Offers an object that was received from the peer @from, or from the platform if @from is NULL. */
MrOfferResult mr_replication_offer (MrReplication *replication,
                                    MrObjectKind kind,
                                    MrText name,
                                    guint64 version,
                                    MrText body,
                                    const char *from);

/* Handles a message of type MR_WIRE_ANNOUNCE, MR_WIRE_GET, MR_WIRE_OBJECTS,
 * MR_WIRE_RANGE_SUMMARIES or MR_WIRE_RANGE_DIGESTS from a peer. */
void mr_replication_receive (MrReplication *replication, MrTime now, const MrWireMessage *message);

/* Requests the list of all objects that @name holds, unless this daemon is already
 * synchronised or receiving such a list. */
void mr_replication_request_list (MrReplication *replication, MrTime now, const char *name);

/* Compares the registry with @digest from a heartbeat of @from. @starts is TRUE while the
 * sender is still starting and may hold only some of the objects. */
void mr_replication_receive_digest (
    MrReplication *replication, MrTime now, const char *from, guint64 digest, gboolean starts);

/* Announces the pending changes once they are due. Returns the time of the next call, or
 * MR_NEVER if no change is pending. */
MrTime mr_replication_tick (MrReplication *replication, MrTime now);

/* Marks the registry as complete: everything was read from the platform or from a peer. Until
 * then this daemon sends its full list to no peer, since the receiver would treat it as complete.
 */
void mr_replication_set_complete (MrReplication *replication);

/* TRUE while the objects of a peer's list are being received. */
gboolean mr_replication_is_fetching (const MrReplication *replication, MrTime now);

/* TRUE once this daemon has fetched a peer's full list, or a peer that has finished starting
 * sent the same digest as that of a non-empty local registry. */
gboolean mr_replication_is_synced (const MrReplication *replication);
