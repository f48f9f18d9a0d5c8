/* Simulation parameters of small sites.
 *
 * SITE has 6 daemons and 10 shards with 3 targets each, which have 5 slots and pause for
 * 250 ms every 6 s.  Per second it gets 149 searches with a service time of 28 ms and a
 * latency goal of 200 ms ("wide"), and 48 with 9.2 ms and a goal of 80 ms ("short").  All
 * searches cover all shards. */
#pragma once

#include "relay_sim.h"

/* A site with faster searches: 2 slots, pauses of 120 ms every 3 s, per second 154 wide
 * searches of 11 ms (goal 100 ms) and 51 short ones of 3.8 ms (goal 50 ms). */
#define QUICK_SITE                                                                                 \
  .seed = 7, .daemons = 6, .shards = 10, .replicas = 3, .slots = 2, .queue = 12,                   \
  .connections = 25, .pause_ms = 120, .pause_interval_ms = 3000, .duration_s = 20, .attempts = 2,  \
  .routes = {                                                                                      \
    { .requests_per_second = 154,                                                                  \
      .service_time_ms = 11,                                                                       \
      .latency_goal_ms = 100,                                                                      \
      .deadline_ms = 600,                                                                          \
      .min_coverage = 0.89,                                                                        \
      .priority = 1 },                                                                             \
    { .requests_per_second = 51,                                                                   \
      .service_time_ms = 3.8,                                                                      \
      .latency_goal_ms = 50,                                                                       \
      .deadline_ms = 300,                                                                          \
      .min_coverage = 0.75,                                                                        \
      .priority = 2 },                                                                             \
  }

#define SITE SITE_WITH_RATES (149, 48)
#define SITE_WITH_RATES(wide, short_) SITE_WITH_RATES_AND_COVERAGE (wide, short_, 0.89, 0.75)
#define HIGH_COVERAGE_SITE_WITH_RATES(wide, short_)                                                \
  SITE_WITH_RATES_AND_COVERAGE (wide, short_, 0.95, 0.95)
#define SITE_WITH_RATES_AND_COVERAGE(wide, short_, wide_coverage, short_coverage)                  \
  .seed = 7, .daemons = 6, .shards = 10, .replicas = 3, .slots = 5, .queue = 30,                   \
  .connections = 40, .pause_ms = 250, .pause_interval_ms = 6000, .duration_s = 20, .attempts = 2,  \
  .routes = {                                                                                      \
    { .requests_per_second = (wide),                                                               \
      .service_time_ms = 28,                                                                       \
      .latency_goal_ms = 200,                                                                      \
      .deadline_ms = 2000,                                                                         \
      .min_coverage = (wide_coverage),                                                             \
      .priority = 1 },                                                                             \
    { .requests_per_second = (short_),                                                             \
      .service_time_ms = 9.2,                                                                      \
      .latency_goal_ms = 80,                                                                       \
      .deadline_ms = 800,                                                                          \
      .min_coverage = (short_coverage),                                                            \
      .priority = 2 },                                                                             \
  }
