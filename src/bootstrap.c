#include "bootstrap.h"

/* On the first start of a fleet most daemons would consider themselves watchers before they
 * learn of the others, and read the whole store: 63 calls on a calm day of 6 or 7 VMs, 48 and
 * 51 with a wait of 0.4 s.  295 VMs need longer than that to learn of each other.  There are no
 * callers yet. */
static const MrTime FIRST_START_WATCHER_WAIT = 1200 * MR_MS;
/* Hundreds of small VMs that start together take longer to learn of each other, so each also
 * waits until the number of known members has not grown for a while.  Of 985, a sixth considered
 * themselves watchers after 1.2 s and read the store: a thousand extra calls. */
static const MrTime GROWTH_SETTLE_TIME = 300 * MR_MS;
static const MrTime GROWTH_WAIT_MAX = 6 * MR_SECOND;
/* After a loss of all VMs no daemon holds any objects, and callers wait for the first that
 * does.  Each watcher waits a random time up to this, so that most learn of one that has read
 * the store (reading and announcing take some 25 ms) before they read it themselves.  Where all
 * start together the first is ready 20 ms after its start and the last after 75
 * (test_bootstrap).  With 150 ms it was 160 ms and, for daemons that learned by heartbeats, a
 * second.  Each day that loses all VMs has these moments in its worst window. */
static const MrTime WATCHER_WAIT = 60 * MR_MS;
/* VMs that lose power together restart within half a second of each other, in any order.  Where
 * the seeds come last, the others know no members until then, and all of 295 reading the store
 * saturate its link: 60 MB, half a second in which no daemon gets an answer.  A small VM, which
 * is named to callers only if there are no larger ones, therefore waits for the seeds.  Larger
 * ones read after WATCHER_WAIT. */
static const MrTime SEEDS_WAIT = 600 * MR_MS;
/* Time a daemon that is not a watcher waits for objects from its peers. */
static const MrTime SYNC_WAIT = 1500 * MR_MS;
/* While objects arrive it waits longer: thousands of them take seconds on a small VM, and
 * dozens of small VMs that restart would all read the whole store. */
static const MrTime FETCH_CHECK_INTERVAL = 100 * MR_MS;
static const MrTime FETCH_WAIT_MAX = 10 * MR_SECOND;
/* Interval at which a waiting daemon asks one peer after another; it doubles with each peer
 * that is ready.  With heartbeats alone, two of six daemons that started together got the
 * objects a second later than the others. */
static const MrTime ASK_INTERVAL = 20 * MR_MS;

void
mr_bootstrap_init (MrBootstrap *bootstrap, MrTime now, const MrBootstrapOptions *options)
{
  MrTime wait = (MrTime) (options->random * (double) WATCHER_WAIT);
  gboolean is_small = options->capacity < MR_SMALL_CAPACITY;
  *bootstrap = (MrBootstrap){
    .started = now,
    .no_other_seeds = options->no_other_seeds,
    .first_start = options->first_start,
    .watcher_wait = options->first_start ? FIRST_START_WATCHER_WAIT : wait,
    .no_peer_wait =
        options->first_start ? FIRST_START_WATCHER_WAIT : wait + (is_small ? SEEDS_WAIT : 0),
    .sync_wait = (options->first_start ? FIRST_START_WATCHER_WAIT : 0) + SYNC_WAIT,
    .ask_interval = ASK_INTERVAL,
    .start_position = options->random,
  };
}

/* Cost of asking a peer; lower is better.  Transfers from another failure domain are paid for,
 * and a peer that is not ready holds no objects or not all. */
static guint
S_ask_cost (const MrMember *member, const char *domain)
{
  return (member->busy ? 2 : 0) + (g_str_equal (member->domain, domain) ? 0 : 1);
}

/* Returns the next peer to ask, NULL if there is none: the one of lowest cost, round-robin
 * from a random start.  Otherwise all daemons that start together would ask the same peer and
 * saturate its link. */
static const MrMember *
S_next_peer (const MrBootstrap *bootstrap, const MrRoster *roster, const char *self)
{
  const MrMember *own = mr_roster_find (roster, self);
  const MrMember *best = NULL;
  guint count = mr_roster_count (roster);
  guint first = (guint) (bootstrap->start_position * count) + bootstrap->ask_count;
  for (guint i = 0; i < count; i++)
    {
      const MrMember *member = mr_roster_at (roster, (first + i) % count);
      if (!mr_member_usable (member) || member == own)
        continue;
      const char *domain = own ? own->domain : "";
      if (!best || S_ask_cost (member, domain) < S_ask_cost (best, domain))
        best = member;
    }
  return best;
}

static void
S_update_members_max (MrBootstrap *bootstrap, MrTime now, guint count)
{
  if (count <= bootstrap->members_max)
    return;
  bootstrap->members_max = count;
  bootstrap->last_growth_at = now;
}

/* Returns the time at which all other starting daemons are assumed to be known; 0 if they are
 * not waited for. */
static MrTime
S_growth_end (const MrBootstrap *bootstrap)
{
  if (!bootstrap->first_start)
    return 0;
  return MIN (bootstrap->last_growth_at + GROWTH_SETTLE_TIME, bootstrap->started + GROWTH_WAIT_MAX);
}

/* Returns the time from which the store may be read.  A daemon that has just learned of the
 * first other member does not know yet which member reads for all. */
static MrTime
S_read_time (MrBootstrap *bootstrap,
             MrTime now,
             const MrRoster *roster,
             const MrBootstrapState *state)
{
  MrTime read_at = bootstrap->started + bootstrap->sync_wait;
  S_update_members_max (bootstrap, now, mr_roster_count (roster));
  if (bootstrap->first_peer_at == 0 && mr_roster_count (roster) > 1)
    bootstrap->first_peer_at = now;
  MrTime growth_end = S_growth_end (bootstrap);
  if (!state->watcher && state->fetching && now < bootstrap->started + FETCH_WAIT_MAX)
    return MAX (read_at, now + FETCH_CHECK_INTERVAL);
  if (!state->watcher)
    return MAX (read_at, growth_end == 0 ? 0 : growth_end + SYNC_WAIT);
  if (bootstrap->first_peer_at == 0)
    return bootstrap->started + bootstrap->no_peer_wait;
  read_at = MAX (bootstrap->started, bootstrap->first_peer_at) + bootstrap->watcher_wait;
  return MAX (read_at, growth_end);
}

MrBootstrapStep
mr_bootstrap_step (MrBootstrap *bootstrap,
                   MrTime now,
                   const MrRoster *roster,
                   const MrBootstrapState *state)
{
  MrTime read_at = S_read_time (bootstrap, now, roster, state);
  if (bootstrap->no_other_seeds || state->synced || now >= read_at)
    return (MrBootstrapStep){ .read_store = TRUE, .next = MR_NEVER };
  MrBootstrapStep step = { .next = read_at };
  if (now >= bootstrap->ask_at)
    {
      step.ask_peer = S_next_peer (bootstrap, roster, state->self);
      bootstrap->ask_at = now + bootstrap->ask_interval;
      bootstrap->ask_count++;
      if (step.ask_peer && !step.ask_peer->busy)
        bootstrap->ask_interval *= 2;
    }
  step.next = MIN (step.next, bootstrap->ask_at);
  return step;
}
