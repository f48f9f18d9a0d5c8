// C modules under test, as C++ sees them.
#pragma once

#include <glib.h>

#include <rapidcheck.h>

#include <cstdio>
#include <string>
#include <vector>

extern "C"
{
#include "accepted_document.h"
#include "batch.h"
#include "controller.h"
#include "document.h"
#include "log.h"
#include "membership.h"
#include "merge.h"
#include "order_records.h"
#include "registry.h"
#include "replication.h"
#include "safeguard.h"
#include "ticket.h"
#include "wire.h"
}

// Switches one safeguard off for the length of a scope.
class GuardOff
{
public:
  explicit GuardOff (MrGuard guard)
  {
    mr_guards_off = 1U << guard;
  }
  ~GuardOff ()
  {
    mr_guards_off = 0;
  }
};

// TRUE if one of @schedules breaks a promise while the safeguard is off: a test
// that can't fail proves nothing.  @run takes a seed and says what broke, or
// nothing.
template <typename Run>
bool
fails_without (const char *what, MrGuard guard, guint32 schedules, Run run)
{
  GuardOff off (guard);
  for (guint32 seed = 1; seed <= schedules; seed++)
    {
      std::string broken = run (seed);
      if (broken.empty ())
        continue;
      std::printf ("without the safeguard '%s': %s, at schedule %u\n", what, broken.c_str (), seed);
      return true;
    }
  std::printf ("without the safeguard '%s': NOT BROKEN\n", what);
  return false;
}

// One step of a history, with two numbers from 0 to 99 to choose by.
struct Command
{
  int kind;
  int a;
  int b;
};

// @count steps of @kinds kinds, the same for the same seed.
inline std::vector<Command>
generate_commands (guint32 seed, int count, int kinds)
{
  GRand *random = g_rand_new_with_seed (seed);
  std::vector<Command> commands;
  for (int i = 0; i < count; i++)
    {
      int kind = g_rand_int_range (random, 0, kinds);
      int a = g_rand_int_range (random, 0, 100);
      commands.push_back ({ kind, a, g_rand_int_range (random, 0, 100) });
    }
  g_rand_free (random);
  return commands;
}
