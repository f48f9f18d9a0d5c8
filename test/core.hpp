// Includes of the C modules under test, and helpers for property tests.
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

// Switches off one safeguard for the lifetime of the object.
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

// Checks that a property test can fail, as a test that never fails proves nothing: returns true if
// the test finds a violation for one of the seeds 1 to @seeds while the safeguard is off.  @run
// takes a seed and returns a description of the violation, or an empty string.
template <typename Run>
bool
fails_without (const char *what, MrGuard guard, guint32 seeds, Run run)
{
  GuardOff off (guard);
  for (guint32 seed = 1; seed <= seeds; seed++)
    {
      std::string violation = run (seed);
      if (violation.empty ())
        continue;
      std::printf ("without the safeguard '%s': %s, at seed %u\n", what, violation.c_str (), seed);
      return true;
    }
  std::printf ("without the safeguard '%s': no violation found\n", what);
  return false;
}

// One step of a generated history.  a and b are random numbers from 0 to 99 that select its
// details.
struct Command
{
  int kind;
  int a;
  int b;
};

// Generates @count steps of @kinds kinds; the same seed gives the same steps.
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
