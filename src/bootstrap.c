#include "bootstrap.h"

/* At the first start of all, most would take themselves for a watcher before they
 * hear of the others, and ask the store for everything: 63 calls on a calm day of 6
 * or 7 VMs, 48 and 51 with a wait of 0.4 s; 295 VMs need more than that to hear of
 * each other.  No caller is there yet. */
static const MrTime FIRST_WATCH_WAIT = 1200 * MR_MS;
/* Hundreds of small VMs that start together take longer to hear of each other, so that each
 * waits until it has heard of no other for a while as well.  With 985 a sixth of all took
 * themselves for watchers after 1.2 s, and read: a thousand calls more. */
static const MrTime GROWTH_OVER = 300 * MR_MS;
static const MrTime GROWTH_WAIT = 6 * MR_SECOND;
/* Later, where all have been killed, nobody holds anything and callers wait for the
 * first that does.  Each waits a time of its own up to this, so that not all ask the
 * store before they hear of one that has (it takes some 25 ms to read and to tell).
 * Where all start together the first is ready 20 ms after its start and the last after
 * 75 (test_joining); with 150 ms for each it was 160 ms and, by heartbeats, a second.
 * Every day that loses all VMs has these moments in its worst window. */
static const MrTime WATCH_WAIT = 60 * MR_MS;
/* VMs that lose power together are back within half a second of each other, in any
 * order.  Where the seeds are the last, the others know nobody until then, and all of
 * 295 that read the store fill its link: 60 MB, for half a second in which nobody has
 * an answer.  So a VM of little processor, which is named to callers only where there
 * are no larger ones, waits for the seeds.  The larger ones read as above. */
static const MrTime SEEDS_WAIT = 600 * MR_MS;
/* One that is not to watch waits this long for its peers' objects. */
static const MrTime SYNC_WAIT = 1500 * MR_MS;
/* While they come in it waits for longer: thousands of objects take seconds on a small VM,
 * and dozens of these that restart would all read the whole store. */
static const MrTime FETCH_STEP = 100 * MR_MS;
static const MrTime FETCH_WAIT = 10 * MR_SECOND;
/* While it waits it asks one peer after the other, this often while none is ready, then
 * half as often each time.  Left to heartbeats, two of six that started together had what the
 * others held a second later than they. */
static const MrTime ASK_GAP = 20 * MR_MS;

void
mr_bootstrap_init (MrBootstrap *joining, MrTime now, const MrBootstrapOptions *info)
{
  MrTime wait = (MrTime) (info->random * (double) WATCH_WAIT);
  gboolean small = info->capacity < MR_SMALL_CAPACITY;
  *joining = (MrBootstrap){
    .started = now,
    .no_other_seeds = info->no_other_seeds,
    .first_start = info->first_start,
    .watcher_wait = info->first_start ? FIRST_WATCH_WAIT : wait,
    .no_peer_wait = info->first_start ? FIRST_WATCH_WAIT : wait + (small ? SEEDS_WAIT : 0),
    .sync_wait = (info->first_start ? FIRST_WATCH_WAIT : 0) + SYNC_WAIT,
    .ask_interval = ASK_GAP,
    .start_position = info->random,
  };
}

/* How little a peer is fit to be asked.  What comes from another failure domain is
 * paid for, and one that is not ready holds nothing, or not all. */
static guint
S_unfit (const MrMember *member, const char *domain)
{
  return (member->busy ? 2 : 0) + (g_str_equal (member->domain, domain) ? 0 : 1);
}

/* One that may hold what this daemon lacks, each in turn from a place of its own, the
 * fittest first; NULL if there is none.  All that start together would ask the same
 * one otherwise, and its link would be busy for as long as it answers them. */
static const MrMember *
S_next_peer (const MrBootstrap *joining, const MrRoster *roster, const char *self)
{
  const MrMember *own = mr_roster_find (roster, self);
  const MrMember *best = NULL;
  guint count = mr_roster_count (roster);
  guint first = (guint) (joining->start_position * count) + joining->ask_count;
  for (guint i = 0; i < count; i++)
    {
      const MrMember *member = mr_roster_at (roster, (first + i) % count);
      if (!mr_member_usable (member) || member == own)
        continue;
      const char *domain = own ? own->domain : "";
      if (!best || S_unfit (member, domain) < S_unfit (best, domain))
        best = member;
    }
  return best;
}

static void
S_note_members (MrBootstrap *joining, MrTime now, guint count)
{
  if (count <= joining->members_max)
    return;
  joining->members_max = count;
  joining->last_growth_at = now;
}

/* From when all others that start too are taken to be known; 0: they are not waited for. */
static MrTime
S_grown (const MrBootstrap *joining)
{
  if (!joining->first_start)
    return 0;
  return MIN (joining->last_growth_at + GROWTH_OVER, joining->started + GROWTH_WAIT);
}

/* When the store may be read.  One that has just met the first of the others does not
 * know yet which of them reads for all. */
static MrTime
S_end (MrBootstrap *joining, MrTime now, const MrRoster *roster, const MrBootstrapState *state)
{
  MrTime end = joining->started + joining->sync_wait;
  S_note_members (joining, now, mr_roster_count (roster));
  if (joining->first_peer_at == 0 && mr_roster_count (roster) > 1)
    joining->first_peer_at = now;
  MrTime grown = S_grown (joining);
  if (!state->watcher && state->fetching && now < joining->started + FETCH_WAIT)
    return MAX (end, now + FETCH_STEP);
  if (!state->watcher)
    return MAX (end, grown == 0 ? 0 : grown + SYNC_WAIT);
  if (joining->first_peer_at == 0)
    return joining->started + joining->no_peer_wait;
  end = MAX (joining->started, joining->first_peer_at) + joining->watcher_wait;
  return MAX (end, grown);
}

MrBootstrapStep
mr_bootstrap_step (MrBootstrap *joining,
                   MrTime now,
                   const MrRoster *roster,
                   const MrBootstrapState *state)
{
  MrTime end = S_end (joining, now, roster, state);
  if (joining->no_other_seeds || state->synced || now >= end)
    return (MrBootstrapStep){ .read_store = TRUE, .next = MR_NEVER };
  MrBootstrapStep step = { .next = end };
  if (now >= joining->ask_at)
    {
      step.ask_peer = S_next_peer (joining, roster, state->self);
      joining->ask_at = now + joining->ask_interval;
      joining->ask_count++;
      if (step.ask_peer && !step.ask_peer->busy)
        joining->ask_interval *= 2;
    }
  step.next = MIN (step.next, joining->ask_at);
  return step;
}
