/* Group membership of the daemons: heartbeats along fixed links, and a suspicion period before
 * a member is declared dead.
 *
 * Each member pings its successor on each of MR_RING_COUNT rings (the members sorted by a hash
 * that differs from ring to ring), so that each member is monitored by as many others as it
 * monitors and its cost does not grow with the fleet.  Half of the rings stay inside the
 * failure domain.  Membership updates ride on pings and acks and are resent on each link until
 * they are acknowledged, so they are sent once where nothing is lost.  A suspected member
 * refutes the suspicion itself, and its refutation overrides it.  The protocol follows SWIM
 * (Das, Gupta, Motivala 2002), with fixed links instead of random ones;
 * docs/design/membership.md has the reasons.
 *
 * The view is a hint: correctness must not depend on it. */
#pragma once

#include "clock.h"
#include "member.h"

enum
{
  /* Rings over the members of the local failure domain, and rings over all members.  Traffic
   * between domains is paid for; two rings over all members are enough for others to detect
   * that a whole domain is cut off. */
  MR_DOMAIN_RINGS = 2,
  MR_GLOBAL_RINGS = 2,
  MR_RING_COUNT = MR_DOMAIN_RINGS + MR_GLOBAL_RINGS,
  /* Membership updates on one heartbeat; 70 bytes each, 15 compressed. */
  MR_HEARTBEAT_UPDATES_MAX = 96,
};

typedef enum
{
  MR_HEARTBEAT_PING,
  MR_HEARTBEAT_ACK,
} MrHeartbeatKind;

/* Members that a ping asks its ack to list, besides the updates. */
typedef enum
{
  MR_MEMBERS_REQUEST_NONE,
  /* A sample of members to contact next, sent back over the connection of the ping; what a
   * joining member asks a seed for. */
  MR_MEMBERS_REQUEST_SAMPLE,
  MR_MEMBERS_REQUEST_ALL, /* every member */
} MrMembersRequest;

typedef struct
{
  MrHeartbeatKind kind;
  MrMembersRequest members_request; /* of pings */
  gboolean no_updates;              /* of pings: the ack carries no updates */
  gboolean is_full_list;            /* the updates are all members that the sender knows */
  guint64 ping_id;
  /* A sender numbers its membership updates in the order in which it learned them.  This
   * heartbeat carries all of the sender's updates for the receiver with sequence numbers above
   * @updates_after, up to @updates_upto.  With @updates_upto 0 it carries no such range. */
  guint64 updates_after;
  guint64 updates_upto;
  guint64 updates_acked;   /* the sender has the receiver's updates up to this number; 0: none */
  guint64 registry_digest; /* of the sender's object registry */
  guint64 members_digest;  /* digest of the members that the sender sees as present */
  MrMember from;
  guint update_count;
  MrMember *updates;
} MrHeartbeat;

typedef struct _MrMembership MrMembership;
typedef struct _MrMembershipHost MrMembershipHost;

/* Callbacks; embedded as the first field of the struct that sends the heartbeats. */
struct _MrMembershipHost
{
  /* At least ip and peer_port of @to are set. */
  void (*send) (MrMembershipHost *host, const MrMember *to, const MrHeartbeat *heartbeat);
  /* @member is new or has changed. */
  void (*member_changed) (MrMembershipHost *host, const MrMember *member);
};

MrMembership *mr_membership_new (MrMembershipHost *host, const MrMember *self, guint32 seed);
void mr_membership_free (MrMembership *membership);

/* Sets the addresses to join through, and to probe for missing members after a partition;
 * replaces the previous list.  The own address and duplicates are allowed. */
void mr_membership_set_seeds (MrMembership *membership, const MrMember *seeds, guint count);
void mr_membership_set_registry_digest (MrMembership *membership, guint64 digest);

void mr_membership_receive (MrMembership *membership, MrTime now, const MrHeartbeat *heartbeat);

/* Runs what is due; returns the time of the next call. */
MrTime mr_membership_tick (MrMembership *membership, MrTime now);

/* Change the state of the local member and announce it to the others. */
void mr_membership_set_state (MrMembership *membership, MrTime now, MrMemberState state);
void mr_membership_set_busy (MrMembership *membership, MrTime now, gboolean busy);
/* Announced immediately, since other members then take over this daemon's platform watches. */
void
mr_membership_set_platform_unreachable (MrMembership *membership, MrTime now, gboolean unreachable);
/* @load is in thousandths of a core. */
void mr_membership_set_load (MrMembership *membership, MrTime now, guint32 load);

/* Returns a new list of all known members, including dead ones until they are removed. */
MrMemberList *mr_membership_list (const MrMembership *membership);
/* Visits all known members except the local one, including dead ones until they are removed. */
void mr_membership_foreach (const MrMembership *membership,
                            void (*visit) (const MrMember *member, void *user),
                            void *user);
/* Returns NULL if unknown; valid until the next call that takes a time. */
const MrMember *mr_membership_find (const MrMembership *membership, const char *name);
const MrMember *mr_membership_self (const MrMembership *membership);

/* Returns TRUE once a message from another member has been received. */
gboolean mr_membership_joined (const MrMembership *membership);

enum
{
  MR_NEIGHBOURS_MAX = 16,
};

/* Returns the members to which this one sends new object versions: its heartbeat partners on
 * the rings of its own failure domain and, if it is one of the domain's few bridges, one
 * member of each other domain.  The return value is their number. */
guint mr_membership_neighbours (MrMembership *membership,
                                MrTime now,
                                const MrMember *neighbours[MR_NEIGHBOURS_MAX]);
