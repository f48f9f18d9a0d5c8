/* Shape of a small site for the relay's world: 6 daemons, 10 shards of 3 targets
 * with 5 slots, 149 wide searches a second of 28 ms work (aim 200 ms) and 48 short
 * ones of 9.2 ms (aim 80 ms), each target pausing 250 ms every 6 s. */
#pragma once

#include "relay_world.h"

/* Another: 2 slots, 154 wide searches a second of 11 ms (aim 100 ms) and 51 short ones
 * of 3.8 ms (aim 50 ms), pauses of 120 ms every 3 s. */
#define QUICK_SITE                                                                                 \
  .seed = 7, .daemons = 6, .shards = 10, .replicas = 3, .slots = 2, .queue = 12,                   \
  .connections = 25, .pause_ms = 120, .pause_gap_ms = 3000, .seconds = 20, .attempts = 2,          \
  .routes = {                                                                                      \
    { .per_second = 154,                                                                           \
      .work_ms = 11,                                                                               \
      .aim_ms = 100,                                                                               \
      .deadline_ms = 600,                                                                          \
      .least_share = 0.89,                                                                         \
      .rank = 1 },                                                                                 \
    { .per_second = 51,                                                                            \
      .work_ms = 3.8,                                                                              \
      .aim_ms = 50,                                                                                \
      .deadline_ms = 300,                                                                          \
      .least_share = 0.75,                                                                         \
      .rank = 2 },                                                                                 \
  }

#define SITE SITE_AT (149, 48)
#define SITE_AT(wide, short_) SITE_SHARES (wide, short_, 0.89, 0.75)
#define NEEDY_SITE_AT(wide, short_) SITE_SHARES (wide, short_, 0.95, 0.95)
#define SITE_SHARES(wide, short_, wide_share, short_share)                                         \
  .seed = 7, .daemons = 6, .shards = 10, .replicas = 3, .slots = 5, .queue = 30,                   \
  .connections = 40, .pause_ms = 250, .pause_gap_ms = 6000, .seconds = 20, .attempts = 2,          \
  .routes = {                                                                                      \
    { .per_second = (wide),                                                                        \
      .work_ms = 28,                                                                               \
      .aim_ms = 200,                                                                               \
      .deadline_ms = 2000,                                                                         \
      .least_share = (wide_share),                                                                 \
      .rank = 1 },                                                                                 \
    { .per_second = (short_),                                                                      \
      .work_ms = 9.2,                                                                              \
      .aim_ms = 80,                                                                                \
      .deadline_ms = 800,                                                                          \
      .least_share = (short_share),                                                                \
      .rank = 2 },                                                                                 \
  }
