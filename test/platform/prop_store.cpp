// Pages of targets that others write to as well: whatever stands beside them, all
// good entries are read, and nothing else names a target.

#include "../core.hpp"

#include <set>

extern "C"
{
#include "adapter.h"
#include "target_record.h"
}

namespace
{

std::string
good_entry (int number)
{
  return "{\"meta\":{\"name\":\"i-" + std::to_string (number) +
         "\",\"revision\":" + std::to_string (number + 1) +
         "},\"spec\":{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"version\":"
         "\"v1\","
         "\"slots\":5,\"state\":\"ready\",\"warmup_left_ms\":0,\"seq\":1}}";
}

std::string
bytes ()
{
  const auto byte = rc::gen::oneOf (rc::gen::arbitrary<char> (),
                                    rc::gen::elementOf (std::string ("{}[]\",:\\ met0")));
  return *rc::gen::container<std::string> (byte);
}

// A value of any shape, where a field of a good entry would stand.
std::string
shape ()
{
  return *rc::gen::elementOf (std::vector<std::string>{
      "null", "true", "-1", "1e9", "0.5", "\"\"", "\"x\"", "[]", "{}", "[[]]", "{\"a\":[1]}" });
}

// A good entry with one field gone, of another type, or cut somewhere.
std::string
spoiled_entry ()
{
  static const char *const fields[] = { "\"service\":\"s\"", "\"address\":\"10.0.0.1:80\"",
                                        "\"zone\":\"z\"",    "\"version\":\"v1\"",
                                        "\"slots\":5",       "\"state\":\"ready\"",
                                        "\"seq\":1",         "\"warmup_left_ms\":0" };
  std::string entry = good_entry (900);
  std::string field = fields[*rc::gen::inRange (0, 8)];
  std::string name = field.substr (0, field.find (':') + 1);
  entry.replace (entry.find (field), field.size (), name + shape ());
  return entry;
}

std::string
any_entry ()
{
  switch (*rc::gen::inRange (0, 4))
    {
    case 0:
      return bytes ();
    case 1:
      return spoiled_entry ();
    case 2:
      return "{\"meta\":{\"name\":\"x\",\"revision\":3},\"spec\":" + bytes () + "}";
    default:
      {
        std::string cut = good_entry (901);
        cut.resize (*rc::gen::inRange<size_t> (0, cut.size ()));
        return cut;
      }
    }
}

MrPlatformResult *
read (const std::string &page)
{
  MrPlatformRequest *request = mr_platform_request_new (MR_PLATFORM_LIST, "targets", "");
  MrPlatformResult *result = mr_platform_result_new (request, 0);
  mr_adapter_store.decode (result, 200, { page.data (), page.size () });
  return result;
}

// The good entries of a page with others among them.
void
read_mixed_page ()
{
  std::string page;
  int good = *rc::gen::inRange (0, 6);
  int others = *rc::gen::inRange (0, 4);
  for (int i = 0; i < good; i++)
    page += (page.empty () ? "" : ",") + good_entry (i);
  for (int i = 0; i < others; i++)
    page = *rc::gen::arbitrary<bool> () ? page + (page.empty () ? "" : ",") + any_entry ()
                                        : any_entry () + (page.empty () ? "" : ",") + page;
  MrPlatformResult *result =
      read ("{\"items\":[" + page + "],\"has_more\":false,\"store_revision\":12}");
  RC_ASSERT (result->status == MR_OK);
  std::set<std::string> named;
  for (guint i = 0; i < result->objects->len; i++)
    {
      auto *object = static_cast<MrPlatformObject *> (g_ptr_array_index (result->objects, i));
      MrTargetRecord *record =
          mr_target_record_parse (mr_text (object->name), mr_text_of (object->body));
      if (record)
        named.insert (object->name);
      mr_target_record_unref (record);
    }
  for (int i = 0; i < good; i++)
    RC_ASSERT (named.erase ("i-" + std::to_string (i)) == 1);
  for (const std::string &name : named)
    RC_ASSERT (name == "i-900"); // spoiled by a value of the right type
  mr_message_free (&result->base);
}

std::string
entry (guint64 started)
{
  MrTargetRecord record = {};
  char service[] = "s";
  record.service = service;
  g_strlcpy (record.target.ip, "10.0.0.1", sizeof record.target.ip);
  record.target.port = 80;
  record.target.slots = 1;
  record.target.started = started;
  g_autofree char *text = mr_target_record_to_json (&record);
  return text;
}

// Two daemons hear of one target's entries, each of some and in an order of its
// own, then of each other.  Says what they end with if it is not the same, or not
// the newest start that either has heard of.
std::string
disagree (guint32 seed)
{
  GRand *random = g_rand_new_with_seed (seed);
  MrRegistry *daemons[2] = { mr_registry_new (), mr_registry_new () };
  guint64 newest = 0;
  for (int i = 0; i < 6; i++)
    {
      guint64 started = (guint64) g_rand_int_range (random, 1, 4);
      guint64 version = MR_VERSION_STRIDE * (guint64) (i + 1);
      std::string body = entry (started);
      for (MrRegistry *daemon : daemons)
        if (g_rand_boolean (random) || i == 5)
          {
            newest = std::max (newest, started);
            mr_registry_offer (daemon, MR_OBJECT_TARGET, MR_TEXT ("i-1"), version,
                               { body.data (), body.size () });
          }
    }
  for (int round = 0; round < 2; round++)
    for (int from = 0; from < 2; from++)
      {
        const MrObject *object = mr_registry_get (daemons[from], MR_OBJECT_TARGET, "i-1");
        g_autofree char *body = g_strdup (object->body->str);
        mr_registry_offer (daemons[1 - from], MR_OBJECT_TARGET, MR_TEXT ("i-1"), object->version,
                           mr_text (body));
      }
  std::string broken;
  guint64 held[2];
  for (int i = 0; i < 2; i++)
    held[i] = mr_target_record_start_time (
        mr_text_of (mr_registry_get (daemons[i], MR_OBJECT_TARGET, "i-1")->body));
  if (std::max (held[0], held[1]) != newest)
    broken = "the newest start is lost";
  mr_registry_free (daemons[0]);
  mr_registry_free (daemons[1]);
  g_rand_free (random);
  return broken;
}

} // namespace

int
main ()
{
  mr_log_set_level (MR_LOG_ERROR);
  bool ok = rc::check ("good entries are read beside any others", read_mixed_page);
  for (guint32 seed = 1; seed <= 2000; seed++)
    {
      std::string broken = disagree (seed);
      if (broken.empty ())
        continue;
      std::printf ("schedule %u: %s\n", seed, broken.c_str ());
      ok = false;
    }
  ok = fails_without ("the newer start wins", MR_GUARD_INCARNATION, 100, disagree) && ok;
  return ok ? 0 : 1;
}
