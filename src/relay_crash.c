#include "relay_private.h"

#include "log.h"

enum
{
  CONTENTS_LOGGED = 8, /* in one line */
  BROKEN_KEPT = 64,    /* of a target; more calls than any has slots */
};

static void
S_log_ended (const MrTargetState *target)
{
  MrLogLine *line = mr_log_begin (MR_LOG_WARNING, MR_EVENT_TARGET_ENDED);
  if (!line)
    return;
  g_autoptr (GString) contents = g_string_new ("[");
  for (guint i = 0; i < MIN (target->broken->len, CONTENTS_LOGGED); i++)
    {
      char text[MR_FINGERPRINT_DIGITS + 1];
      mr_fingerprint_write (g_array_index (target->broken, MrFingerprint, i), text);
      g_string_append_printf (contents, "%s\"%s\"", i > 0 ? "," : "", text);
    }
  g_string_append_c (contents, ']');
  mr_log_text (line, "target", mr_text (target->id));
  mr_log_text (line, "address", mr_text (target->key));
  mr_log_number (line, "calls", target->broken->len);
  mr_log_json (line, "contents", mr_text_of (contents));
  mr_log_end (line);
}

static void
S_note_ended (MrRelay *r, MrTargetState *target)
{
  if (target->broken->len == 0)
    return;
  r->counts.ended++;
  S_log_ended (target);
  g_array_set_size (target->broken, 0);
}

void
mr_relay_note_broken (MrRelay *r, MrTargetState *target, MrFingerprint fingerprint)
{
  if (target->broken->len < BROKEN_KEPT && mr_fingerprint_is_set (fingerprint))
    g_array_append_val (target->broken, fingerprint);
  if (target->health.state == MR_HEALTH_DOWN)
    S_note_ended (r, target);
}

void
mr_relay_note_probed (MrRelay *r, MrTargetState *target, gboolean answered)
{
  if (answered)
    g_array_set_size (target->broken, 0); /* only the connections had broken */
  else
    S_note_ended (r, target);
}
