/* Shape of a small site for the relay's world: 6 daemons, 10 shards of 3 targets
 * with 5 slots, 149 wide searches a second of 28 ms work (aim 200 ms) and 48 short
 * ones of 9.2 ms (aim 80 ms), each target pausing 250 ms every 6 s. */
#pragma once

#include "relay_sim.h"

/* Another: 2 slots, 154 wide searches a second of 11 ms (aim 100 ms) and 51 short ones
 * of 3.8 ms (aim 50 ms), pauses of 120 ms every 3 s. */
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
#define SITE_WITH_RATES(wide, short_) SITE_WITH_RATES_AND_SHARES (wide, short_, 0.89, 0.75)
#define HIGH_COVERAGE_SITE_WITH_RATES(wide, short_)                                                \
  SITE_WITH_RATES_AND_SHARES (wide, short_, 0.95, 0.95)
#define SITE_WITH_RATES_AND_SHARES(wide, short_, wide_share, short_share)                          \
  .seed = 7, .daemons = 6, .shards = 10, .replicas = 3, .slots = 5, .queue = 30,                   \
  .connections = 40, .pause_ms = 250, .pause_interval_ms = 6000, .duration_s = 20, .attempts = 2,  \
  .routes = {                                                                                      \
    { .requests_per_second = (wide),                                                               \
      .service_time_ms = 28,                                                                       \
      .latency_goal_ms = 200,                                                                      \
      .deadline_ms = 2000,                                                                         \
      .min_coverage = (wide_share),                                                                \
      .priority = 1 },                                                                             \
    { .requests_per_second = (short_),                                                             \
      .service_time_ms = 9.2,                                                                      \
      .latency_goal_ms = 80,                                                                       \
      .deadline_ms = 800,                                                                          \
      .min_coverage = (short_share),                                                               \
      .priority = 2 },                                                                             \
  }
