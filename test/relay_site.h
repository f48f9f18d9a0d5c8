/* Shape of a small site for the relay's world: 6 daemons, 10 shards of 3 targets
 * with 5 slots, 149 wide searches a second of 28 ms work (aim 200 ms) and 48 short
 * ones of 9.2 ms (aim 80 ms), each target pausing 250 ms every 6 s. */
#pragma once

#include "relay_world.h"

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
