#include "fingerprint.h"

#include <xxhash.h>

MrFingerprint
mr_fingerprint_compute (const MrText *texts, guint count, guint64 key)
{
  XXH3_state_t *state = XXH3_createState ();
  XXH3_128bits_reset_withSeed (state, key);
  for (guint i = 0; i < count; i++)
    {
      guint64 length = GUINT64_TO_LE ((guint64) texts[i].len);
      XXH3_128bits_update (state, &length, sizeof length);
      if (texts[i].len > 0)
        XXH3_128bits_update (state, texts[i].data, texts[i].len);
    }
  XXH128_hash_t hash = XXH3_128bits_digest (state);
  XXH3_freeState (state);
  return (MrFingerprint){ .high = hash.high64, .low = hash.low64 };
}

guint
mr_fingerprint_key_hash (gconstpointer key)
{
  return (guint) ((const MrFingerprint *) key)->low;
}

gboolean
mr_fingerprint_key_equal (gconstpointer a, gconstpointer b)
{
  return mr_fingerprint_equal (*(const MrFingerprint *) a, *(const MrFingerprint *) b);
}

void
mr_fingerprint_write (MrFingerprint fingerprint, char out[MR_FINGERPRINT_DIGITS + 1])
{
  g_snprintf (out, MR_FINGERPRINT_DIGITS + 1,
              "%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x", fingerprint.high,
              fingerprint.low);
}

static bool
S_read_half (const char *digits, guint64 *out)
{
  *out = 0;
  for (guint i = 0; i < MR_FINGERPRINT_DIGITS / 2; i++)
    {
      gint value = g_ascii_xdigit_value (digits[i]);
      if (value < 0 || g_ascii_isupper (digits[i]))
        return false;
      *out = *out << 4 | (guint64) value;
    }
  return true;
}

bool
mr_fingerprint_read (MrText text, MrFingerprint *out)
{
  return text.len == MR_FINGERPRINT_DIGITS && S_read_half (text.data, &out->high) &&
         S_read_half (text.data + MR_FINGERPRINT_DIGITS / 2, &out->low);
}
