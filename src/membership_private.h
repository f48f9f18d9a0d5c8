/* Inside of membership, shared by its files:
 *   membership.c        what is heard, suspicion, time
 *   membership_links.c  who pings whom
 *   membership_updates.c   what is told to whom */
#pragma once

#include "membership.h"

/* The other end of a link; of a member without one only the first fields are used. */
typedef struct
{
  MrMember member;
  MrTime changed_at;
  guint64 update_seq;        /* number of this change among our news */
  guint source_hash;         /* hash of the name of who told of it */
  guint missed_acks;         /* pings without an ack, in a row */
  guint64 pending_ping;      /* number of the ping that is out, or 0 */
  MrTime ping_at;            /* next ping, or when the one that is out is overdue */
  MrTime pinged_us_at;       /* its last ping that takes news; 0: none */
  MrTime last_heartbeat_at;  /* its last heartbeat */
  MrTime view_differs_since; /* its view and ours; 0: they don't */
  MrTime full_list_sent_at;
  /* News on the link.  Until the two have heard of each other's view there is none. */
  gboolean link_established;
  gboolean has_acked; /* it has acknowledged something */
  guint64 acked_seq;  /* of our news it has all up to this */
  guint64 sent_seq;   /* and was told up to this at @told_at */
  MrTime sent_at;
  guint64 received_seq; /* of its news we have all up to this; 0: none */
} Peer;

struct _MrMembership
{
  MrMembershipHost *host;
  Peer self;
  GHashTable *peers; /* name -> Peer, without self */
  GArray *seeds;     /* MrMember */
  GRand *random;
  guint64 last_ping_id;
  guint64 last_update_seq;
  guint64 last_urgent_seq; /* number of the latest news that doesn't wait for the next ping */
  guint64 registry_digest;
  guint64 members_digest; /* of the present members; 0: to be computed */
  MrTime join_at;
  MrTime request_list_at; /* when to ask for all members, until one has answered */
  MrTime ask_seed_at;     /* when to ask a seed again after the start */
  guint seed_asks;        /* how often that was done */
  MrTime first_tick_at;   /* first tick */
  MrTime last_tick_at;
  MrTime full_list_sent_at;
  gboolean joined;
  gboolean list_received; /* somebody has told all members that it knows */
  gboolean links_stale;
  gboolean has_domain_rings; /* the failure domain is large enough for rings of its own */
  guint link_count;
  Peer *links[MR_RING_COUNT];
  gboolean no_updates[MR_RING_COUNT]; /* pings that carry no news */
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

/* Digest of the present members; equal in two views that hold the same. */
guint64 mr_membership_members_digest (MrMembership *m);

/* A heartbeat of @peer has come. */
void
mr_updates_on_heartbeat (MrMembership *m, MrTime now, Peer *peer, const MrHeartbeat *heartbeat);

/* Forgets what the process before the present one of @peer was told. */
void mr_updates_reset_link (Peer *peer);

/* Fills in what @heartbeat tells @peer; room for MR_UPDATES_MAX updates, of which the
 * first may hold what is known here of @peer itself. */
void mr_updates_fill (MrMembership *m, MrTime now, Peer *peer, MrHeartbeat *heartbeat);

/* TRUE if @peer is to be told something now, ahead of its next ping; lowers @next to
 * when it will be. */
gboolean mr_updates_urgent_due (const MrMembership *m, MrTime now, const Peer *peer, MrTime *next);

/* Fills in some members, those of the failure domain of @asker first. */
void mr_updates_fill_sample (const MrMembership *m, const MrMember *asker, MrHeartbeat *heartbeat);

/* Fills in every member; @heartbeat's updates are then the caller's to free. */
void mr_updates_fill_all (const MrMembership *m, MrHeartbeat *heartbeat);
