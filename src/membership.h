/* Who is in the tier: heartbeats along fixed links, suspicion before removal.
 *
 * Each member pings its successor on each of MR_RINGS rings (the members sorted
 * by a hash that differs from ring to ring), so that each is watched by as many
 * as it watches and the cost does not grow with the fleet.  Half of the rings stay
 * inside the failure domain.  News of members ride on pings and acks, and go over
 * each link until they are acknowledged, so once where nothing is lost.  A member that is suspected
 * says so itself and is believed.  After the SWIM protocol (Das, Gupta, Motivala 2002), with fixed
 * links in place of random ones; docs/design/membership.md has the reasons.
 *
 * The view is a hint: nothing that must hold depends on it. */
#pragma once

#include "clock.h"
#include "member.h"

enum
{
  /* Rings over the members of the own failure domain, then rings over all.  Heartbeats
   * and news that cross into another domain are paid for; two rings over all are
   * enough that a domain which is cut off as a whole is found out by others. */
  MR_DOMAIN_RINGS = 2,
  MR_GLOBAL_RINGS = 2,
  MR_RING_COUNT = MR_DOMAIN_RINGS + MR_GLOBAL_RINGS,
  MR_HEARTBEAT_UPDATES_MAX =
      96, /* news of members on one heartbeat; 70 bytes each, 15 compressed */
};

typedef enum
{
  MR_HEARTBEAT_PING,
  MR_HEARTBEAT_ACK,
} MrHeartbeatKind;

/* What a ping asks its answer to carry beside news. */
typedef enum
{
  MR_MEMBERS_REQUEST_NONE,
  /* Some members to go on from, by the connection that the ping came by; what a seed is
   * asked for. */
  MR_MEMBERS_REQUEST_SAMPLE,
  MR_MEMBERS_REQUEST_ALL, /* every member */
} MrMembersRequest;

typedef struct
{
  MrHeartbeatKind kind;
  MrMembersRequest members_request; /* of a ping */
  gboolean no_updates;              /* a ping: the answer is to carry no news */
  gboolean is_full_list;            /* the updates are every member that the sender knows */
  guint64 ping_id;
  /* News of one sender are numbered in the order in which it learned them.  The
   * updates are all its news for the receiver after the number @after up to @upto; a
   * @upto of 0: they are none of these. */
  guint64 updates_after;
  guint64 updates_upto;
  guint64 updates_acked;   /* of the receiver's news the sender has all up to this; 0: none */
  guint64 registry_digest; /* of the sender's registry */
  guint64 members_digest;  /* digest of the members it sees */
  MrMember from;
  guint update_count;
  MrMember *updates;
} MrHeartbeat;

typedef struct _MrMembership MrMembership;
typedef struct _MrMembershipHost MrMembershipHost;

/* Vtable; first member of whoever sends the heartbeats. */
struct _MrMembershipHost
{
  /* @to: at least ip and peer_port are set. */
  void (*send) (MrMembershipHost *host, const MrMember *to, const MrHeartbeat *heartbeat);
  /* @member is new, or something about it has changed. */
  void (*member_changed) (MrMembershipHost *host, const MrMember *member);
};

MrMembership *mr_membership_new (MrMembershipHost *host, const MrMember *self, guint32 seed);
void mr_membership_free (MrMembership *membership);

/* Where to join, and to look for members after a partition; replaces the last
 * list.  Own address and duplicates do no harm. */
void mr_membership_set_seeds (MrMembership *membership, const MrMember *seeds, guint count);
void mr_membership_set_registry_digest (MrMembership *membership, guint64 digest);

void mr_membership_receive (MrMembership *membership, MrTime now, const MrHeartbeat *heartbeat);

/* Returns when to come back. */
MrTime mr_membership_tick (MrMembership *membership, MrTime now);

/* Own news, told to the others. */
void mr_membership_set_state (MrMembership *membership, MrTime now, MrMemberState state);
void mr_membership_set_busy (MrMembership *membership, MrTime now, gboolean busy);
/* Told at once: others take over what this daemon did at the platform. */
void
mr_membership_set_platform_unreachable (MrMembership *membership, MrTime now, gboolean cut_off);
/* In thousandths of a core. */
void mr_membership_set_load (MrMembership *membership, MrTime now, guint32 load);

/* A new list of all members known, the dead included while they are told of. */
MrMemberList *mr_membership_list (const MrMembership *membership);
/* All members known but the own one, the dead included while they are told of. */
void mr_membership_foreach (const MrMembership *membership,
                            void (*visit) (const MrMember *member, void *user),
                            void *user);
/* Borrowed until the next call that takes a time; NULL if unknown. */
const MrMember *mr_membership_find (const MrMembership *membership, const char *name);
const MrMember *mr_membership_self (const MrMembership *membership);

/* TRUE once another member has answered. */
gboolean mr_membership_joined (const MrMembership *membership);

enum
{
  MR_NEIGHBOURS_MAX = 16,
};

/* Members whom this one tells of objects: those that it exchanges heartbeats with on
 * the rings of its own failure domain, and where it is one of its domain's few
 * bridges one member of each other domain.  Returns how many. */
guint mr_membership_neighbours (MrMembership *membership,
                                MrTime now,
                                const MrMember *neighbours[MR_NEIGHBOURS_MAX]);
