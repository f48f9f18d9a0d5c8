/* Who is in the tier: heartbeats along fixed links, suspicion before removal.
 *
 * Each member pings its successor on each of MR_RINGS rings (the members sorted
 * by a hash that differs from ring to ring), so that each is watched by as many
 * as it watches and the cost does not grow with the fleet.  News of members
 * ride on pings and acks.  A member that is suspected says so itself and is
 * believed.  After the SWIM protocol (Das, Gupta, Motivala 2002), with fixed
 * links in place of random ones; docs/design/membership.md has the reasons.
 *
 * The view is a hint: nothing that must hold depends on it. */
#pragma once

#include "clock.h"
#include "member.h"

enum
{
  MR_RINGS = 4,
  MR_UPDATES_MAX = 6, /* news of members on one heartbeat */
};

typedef enum
{
  MR_HEARTBEAT_PING,
  MR_HEARTBEAT_ACK,
} MrHeartbeatKind;

typedef struct
{
  MrHeartbeatKind kind;
  gboolean join; /* a ping: the answer is to carry every member */
  guint64 number;
  guint64 digest;  /* of the sender's registry */
  guint64 members; /* digest of the members it sees */
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
  /* The list or a state in it has changed. */
  void (*changed) (MrMembershipHost *host);
};

MrMembership *mr_membership_new (MrMembershipHost *host, const MrMember *self, guint32 seed);
void mr_membership_free (MrMembership *membership);

/* Where to join, and to look for members after a partition; replaces the last
 * list.  Own address and duplicates do no harm. */
void mr_membership_set_seeds (MrMembership *membership, const MrMember *seeds, guint count);
void mr_membership_set_digest (MrMembership *membership, guint64 digest);

void mr_membership_receive (MrMembership *membership, MrTime now, const MrHeartbeat *heartbeat);

/* Returns when to come back. */
MrTime mr_membership_tick (MrMembership *membership, MrTime now);

/* Own news, told to the others. */
void mr_membership_set_state (MrMembership *membership, MrTime now, MrMemberState state);
void mr_membership_set_busy (MrMembership *membership, MrTime now, gboolean busy);
/* Told at once: others take over what this daemon did at the platform. */
void mr_membership_set_cut_off (MrMembership *membership, MrTime now, gboolean cut_off);
/* In thousandths of a core. */
void mr_membership_set_load (MrMembership *membership, MrTime now, guint32 load);

/* A new list of all members known, the dead included while they are told of. */
MrMemberList *mr_membership_list (const MrMembership *membership);
/* Borrowed until the next call that takes a time; NULL if unknown. */
const MrMember *mr_membership_find (const MrMembership *membership, const char *name);
const MrMember *mr_membership_self (const MrMembership *membership);

/* TRUE once another member has answered. */
gboolean mr_membership_joined (const MrMembership *membership);

/* Current successors, up to MR_RINGS; returns how many. */
guint mr_membership_successors (MrMembership *membership, const MrMember **successors);
