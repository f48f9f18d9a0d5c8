/* Internals of the membership module, shared by its files:
 *
 *   membership.c          heartbeats received, failure detection, timers
 *   membership_links.c    which members ping which
 *   membership_updates.c  which updates are sent to which member */
#pragma once

#include "membership.h"

/* State of one known member.  The fields of pings and updates are used only for members that
 * this one exchanges heartbeats with. */
typedef struct
{
  MrMember member;
  MrTime changed_at;
  guint64 update_seq;        /* sequence number of the last change among the local updates */
  guint source_hash;         /* hash of the name of the member that reported it */
  guint missed_acks;         /* consecutive pings without an ack */
  guint64 pending_ping;      /* id of the ping that awaits its ack, or 0 */
  MrTime ping_at;            /* time of the next ping, or when the ack of the last one is overdue */
  MrTime pinged_us_at;       /* when it last sent a ping that asks for updates; 0: never */
  MrTime last_heartbeat_at;  /* when its last heartbeat arrived */
  MrTime view_differs_since; /* since when its member digest differs from ours; 0: equal */
  MrTime full_list_sent_at;
  /* Updates on the link; none are sent until the two members have compared views. */
  gboolean link_established;
  gboolean has_acked; /* it has acknowledged at least one update */
  guint64 acked_seq;  /* it has our updates up to this number */
  guint64 sent_seq;   /* updates sent to it, at @sent_at, go up to this number */
  MrTime sent_at;
  guint64 received_seq; /* we have its updates up to this number; 0: none */
} Peer;

struct _MrMembership
{
  MrMembershipHost *host;
  Peer self;
  GHashTable *peers; /* name -> Peer, without the local member */
  GArray *seeds;     /* MrMember */
  GRand *random;
  guint64 last_ping_id;
  guint64 last_update_seq;
  guint64 last_urgent_seq; /* number of the latest update that is sent ahead of the next ping */
  guint64 registry_digest;
  guint64 members_digest; /* of the present members; 0: must be recomputed */
  MrTime join_at;
  MrTime request_list_at; /* when to request the full list, until one has arrived */
  MrTime seed_query_at;   /* when to query a seed again after the start */
  guint seed_query_count; /* number of these queries */
  MrTime first_tick_at;
  MrTime last_tick_at;
  MrTime full_list_sent_at;
  gboolean joined;
  gboolean list_received; /* a full member list has been received */
  gboolean links_stale;
  gboolean has_domain_rings; /* the failure domain is large enough for its own rings */
  guint link_count;
  Peer *links[MR_RING_COUNT];
  gboolean no_updates[MR_RING_COUNT]; /* pings on this link carry no updates */
};

static inline gboolean
mr_peer_is_present (const Peer *peer)
{
  return peer->member.state < MR_MEMBER_LEFT;
}

static inline gboolean
mr_peer_is_in_own_domain (const MrMembership *m, const Peer *peer)
{
  return g_str_equal (peer->member.domain, m->self.member.domain);
}

void mr_membership_refresh_links (MrMembership *m);

/* Returns a digest of the present members; equal views have equal digests. */
guint64 mr_membership_members_digest (MrMembership *m);

/* Processes the update numbers and the acknowledgement in a heartbeat from @peer. */
void
mr_updates_on_heartbeat (MrMembership *m, MrTime now, Peer *peer, const MrHeartbeat *heartbeat);

/* Resets the update state of the link, as after a restart of @peer. */
void mr_updates_reset_link (Peer *peer);

/* Adds the updates for @peer to @heartbeat, which has room for MR_HEARTBEAT_UPDATES_MAX.  The
 * first may already hold the local record of @peer itself. */
void mr_updates_fill (MrMembership *m, MrTime now, Peer *peer, MrHeartbeat *heartbeat);

/* Returns TRUE if urgent updates for @peer are due ahead of its next ping; otherwise lowers
 * @next to the time when they will be. */
gboolean mr_updates_urgent_due (const MrMembership *m, MrTime now, const Peer *peer, MrTime *next);

/* Adds a sample of members, those in the failure domain of @requester first. */
void
mr_updates_fill_sample (const MrMembership *m, const MrMember *requester, MrHeartbeat *heartbeat);

/* Adds all members.  The caller frees @heartbeat's updates. */
void mr_updates_fill_all (const MrMembership *m, MrHeartbeat *heartbeat);
