// Other programs write to the pages of targets as well: all valid entries of a page must be
// decoded whatever the other ones contain, and no other entry may become a target.

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
valid_entry (int number)
{
  return "{\"meta\":{\"name\":\"i-" + std::to_string (number) +
         "\",\"revision\":" + std::to_string (number + 1) +
         "},\"spec\":{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"version\":"
         "\"v1\","
         "\"slots\":5,\"state\":\"ready\",\"warmup_left_ms\":0,\"seq\":1}}";
}

std::string
random_bytes ()
{
  const auto byte = rc::gen::oneOf (rc::gen::arbitrary<char> (),
                                    rc::gen::elementOf (std::string ("{}[]\",:\\ met0")));
  return *rc::gen::container<std::string> (byte);
}

// A JSON value of any type, to replace the value of a field.
std::string
any_value ()
{
  return *rc::gen::elementOf (std::vector<std::string>{
      "null", "true", "-1", "1e9", "0.5", "\"\"", "\"x\"", "[]", "{}", "[[]]", "{\"a\":[1]}" });
}

// A valid entry with the value of one field replaced.
std::string
invalid_entry ()
{
  static const char *const fields[] = { "\"service\":\"s\"", "\"address\":\"10.0.0.1:80\"",
                                        "\"zone\":\"z\"",    "\"version\":\"v1\"",
                                        "\"slots\":5",       "\"state\":\"ready\"",
                                        "\"seq\":1",         "\"warmup_left_ms\":0" };
  std::string entry = valid_entry (900);
  std::string field = fields[*rc::gen::inRange (0, 8)];
  std::string name = field.substr (0, field.find (':') + 1);
  entry.replace (entry.find (field), field.size (), name + any_value ());
  return entry;
}

std::string
any_entry ()
{
  switch (*rc::gen::inRange (0, 4))
    {
    case 0:
      return random_bytes ();
    case 1:
      return invalid_entry ();
    case 2:
      return "{\"meta\":{\"name\":\"x\",\"revision\":3},\"spec\":" + random_bytes () + "}";
    default:
      {
        std::string cut = valid_entry (901);
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

// All valid entries of a page with other entries among them are decoded.
void
decode_mixed_page ()
{
  std::string page;
  int valid = *rc::gen::inRange (0, 6);
  int others = *rc::gen::inRange (0, 4);
  for (int i = 0; i < valid; i++)
    page += (page.empty () ? "" : ",") + valid_entry (i);
  for (int i = 0; i < others; i++)
    page = *rc::gen::arbitrary<bool> () ? page + (page.empty () ? "" : ",") + any_entry ()
                                        : any_entry () + (page.empty () ? "" : ",") + page;
  MrPlatformResult *result =
      read ("{\"items\":[" + page + "],\"has_more\":false,\"store_revision\":12}");
  RC_ASSERT (result->status == MR_OK);
  std::set<std::string> decoded;
  for (guint i = 0; i < result->objects->len; i++)
    {
      auto *object = static_cast<MrPlatformObject *> (g_ptr_array_index (result->objects, i));
      MrTargetRecord *record =
          mr_target_record_parse (mr_text (object->name), mr_text_of (object->body));
      if (record)
        decoded.insert (object->name);
      mr_target_record_unref (record);
    }
  for (int i = 0; i < valid; i++)
    RC_ASSERT (decoded.erase ("i-" + std::to_string (i)) == 1);
  for (const std::string &name : decoded)
    RC_ASSERT (name == "i-900"); // the replaced value has the right type
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

// Two daemons receive some of the entries of one target and then exchange what they have.
// Returns a message if neither has the newest process start that either has received.
std::string
exchange_entries (guint32 seed)
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
  std::string failure;
  guint64 held[2];
  for (int i = 0; i < 2; i++)
    held[i] = mr_target_record_start_time (
        mr_text_of (mr_registry_get (daemons[i], MR_OBJECT_TARGET, "i-1")->body));
  if (std::max (held[0], held[1]) != newest)
    failure = "the entry of the newest start is lost";
  mr_registry_free (daemons[0]);
  mr_registry_free (daemons[1]);
  g_rand_free (random);
  return failure;
}

} // namespace

int
main ()
{
  mr_log_set_level (MR_LOG_ERROR);
  bool ok = rc::check ("valid entries are decoded whatever the others contain", decode_mixed_page);
  for (guint32 seed = 1; seed <= 2000; seed++)
    {
      std::string failure = exchange_entries (seed);
      if (failure.empty ())
        continue;
      std::printf ("schedule %u: %s\n", seed, failure.c_str ());
      ok = false;
    }
  ok = fails_without ("the newer start wins", MR_GUARD_INCARNATION, 100, exchange_entries) && ok;
  return ok ? 0 : 1;
}
