/* Inside of membership, shared by its files:
 *   membership.c        what is heard, suspicion, time
 *   membership_links.c  who pings whom
 *   membership_news.c   what is told to whom */
#pragma once

#include "membership.h"

/* The other end of a link; of a member without one only the first fields are used. */
typedef struct
{
  MrMember member;
  MrTime changed_at;
  guint64 news;         /* number of this change among our news */
  guint teller;         /* hash of the name of who told of it */
  guint misses;         /* pings without an ack, in a row */
  guint64 waiting;      /* number of the ping that is out, or 0 */
  MrTime ping_at;       /* next ping, or when the one that is out is overdue */
  MrTime pinged_at;     /* its last ping that takes news; 0: none */
  MrTime heard_at;      /* its last heartbeat */
  MrTime differs_since; /* its view and ours; 0: they don't */
  MrTime told_all_at;
  /* News on the link.  Until the two have heard of each other's view there is none. */
  gboolean in_touch;
  gboolean confirmed; /* it has acknowledged something */
  guint64 acked;      /* of our news it has all up to this */
  guint64 told;       /* and was told up to this at @told_at */
  MrTime told_at;
  guint64 taken; /* of its news we have all up to this; 0: none */
} Peer;

struct _MrMembership
{
  MrMembershipHost *host;
  Peer self;
  GHashTable *peers; /* name -> Peer, without self */
  GArray *seeds;     /* MrMember */
  GRand *random;
  guint64 last_number;
  guint64 last_news;
  guint64 urgent; /* number of the latest news that doesn't wait for the next ping */
  guint64 digest;
  guint64 members_digest; /* of the present members; 0: to be computed */
  MrTime join_at;
  MrTime list_at; /* when to ask for all members, until one has answered */
  MrTime look_at; /* when to ask a seed again after the start */
  guint looks;    /* how often that was done */
  MrTime started; /* first tick */
  MrTime ticked_at;
  MrTime told_all_at;
  gboolean joined;
  gboolean listed; /* somebody has told all members that it knows */
  gboolean links_stale;
  gboolean near_rings; /* the failure domain is large enough for rings of its own */
  guint link_count;
  Peer *links[MR_RINGS];
  gboolean watch_only[MR_RINGS]; /* pings that carry no news */
};

static inline gboolean
mr_peer_present (const Peer *peer)
{
  return peer->member.state < MR_MEMBER_LEFT;
}

static inline gboolean
mr_peer_is_near (const MrMembership *m, const Peer *peer)
{
  return g_str_equal (peer->member.domain, m->self.member.domain);
}

void mr_membership_refresh_links (MrMembership *m);

/* Digest of the present members; equal in two views that hold the same. */
guint64 mr_membership_digest (MrMembership *m);

/* A heartbeat of @peer has come. */
void mr_news_heard (MrMembership *m, MrTime now, Peer *peer, const MrHeartbeat *heartbeat);

/* Forgets what the process before the present one of @peer was told. */
void mr_news_reset (Peer *peer);

/* Fills in what @heartbeat tells @peer; room for MR_UPDATES_MAX updates, of which the
 * first may hold what is known here of @peer itself. */
void mr_news_tell (MrMembership *m, MrTime now, Peer *peer, MrHeartbeat *heartbeat);

/* TRUE if @peer is to be told something now, ahead of its next ping; lowers @next to
 * when it will be. */
gboolean mr_news_urgent (const MrMembership *m, MrTime now, const Peer *peer, MrTime *next);

/* Fills in some members, those of the failure domain of @asker first. */
void mr_news_some (const MrMembership *m, const MrMember *asker, MrHeartbeat *heartbeat);

/* Fills in every member; @heartbeat's updates are then the caller's to free. */
void mr_news_all (const MrMembership *m, MrHeartbeat *heartbeat);
