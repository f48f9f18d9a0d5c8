/* Fair shares of organisations where a service is short of capacity.  Time is passed in.
 *
 * MrFairShare knows the demand of each organisation on one service, or on one set of shards: the
 * slot time of its calls and the expected slot time of its refused requests, decayed over
 * MR_FAIR_DECAY.  From this it computes which fraction of an organisation's requests to refuse.
 * Refused work counts as demand: if only served work counted, an organisation that offers 30 times
 * as much as others would get sqrt(30) times as much as they get.
 *
 * MrFairQueue gives the order of a queue, by start-time fair queueing (Goyal, Vin and Cheng 1996).
 * It keeps state only while the queue is not empty.
 *
 * Reasons and figures: docs/design/fair-shares.md. */
#pragma once

#include "clock.h"

typedef struct _MrFairShare MrFairShare;
typedef struct _MrFairFlow MrFairFlow; /* an organisation's state in one MrFairShare */
typedef struct _MrFairQueue MrFairQueue;

#define MR_FAIR_DECAY (2 * MR_SECOND)     /* time constant */
#define MR_FAIR_IDLE_TTL (10 * MR_SECOND) /* state of an organisation without requests */

enum
{
  MR_FAIR_PRIORITIES = 4, /* all priorities from the last one on count as one */
};

MrFairShare *mr_fair_share_new (void);
/* Flows that are still referenced remain valid. */
void mr_fair_share_free (MrFairShare *share);

/* Returns a reference to the state of the organisation. */
MrFairFlow *
mr_fair_share_get (MrFairShare *share, MrTime now, const char *organisation, guint priority);
MrFairFlow *mr_fair_flow_ref (MrFairFlow *flow);
void mr_fair_flow_unref (MrFairFlow *flow);

/* A call that was expected to take @expected has taken @slot_time of a slot. */
void mr_fair_flow_add_work (MrFairFlow *flow, MrTime now, double expected, double slot_time);
/* A request was refused whose calls were expected to take @expected. */
void mr_fair_flow_add_refused (MrFairFlow *flow, MrTime now, double expected);
/* Slot time of its calls and expected slot time of its refused requests, decayed. */
double mr_fair_flow_demand (const MrFairFlow *flow, MrTime now);
/* Slot time of this organisation's calls over the expected slot time. */
double mr_fair_flow_cost_ratio (const MrFairFlow *flow);

/* Fraction of @flow's requests to refuse so that @fraction of all work is refused.  The least
 * urgent priority is refused first, up to @max_fraction of its work and down to a tenth of all work
 * that is served.  Within a priority the largest demands are reduced to a common level;
 * organisations below the level lose nothing. */
double mr_fair_share_refused_fraction (
    MrFairShare *share, MrTime now, const MrFairFlow *flow, double fraction, double max_fraction);
/* TRUE if the demand of @flow is above the mean of all organisations. */
gboolean mr_fair_share_is_above_mean (MrFairShare *share, MrTime now, const MrFairFlow *flow);
guint mr_fair_share_count (const MrFairShare *share);

MrFairQueue *mr_fair_queue_new (void);
void mr_fair_queue_free (MrFairQueue *queue);
/* Start tag of something that has just been served; never falls. */
double mr_fair_queue_virtual_time (const MrFairQueue *queue);
/* Start tag that a request of @flow would get now. */
double mr_fair_queue_next_tag (const MrFairQueue *queue, const MrFairFlow *flow);
/* Adds a request that is expected to take @cost; returns its start tag.  Lower ones are served
 * first. */
double mr_fair_queue_add (MrFairQueue *queue, const MrFairFlow *flow, double cost);
/* The request with start tag @tag is being served. */
void mr_fair_queue_serve (MrFairQueue *queue, double tag);
/* The work of @flow differs by @difference from what was added. */
void mr_fair_queue_correct (MrFairQueue *queue, const MrFairFlow *flow, double difference);
/* The queue is empty: a new busy period begins with the next request. */
void mr_fair_queue_on_empty (MrFairQueue *queue);
guint mr_fair_queue_count (const MrFairQueue *queue);
