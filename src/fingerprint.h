/* Fingerprints of what requests ask for.
 *
 * Attempts of one request have ids and deadlines of their own; what they ask for is the
 * same.  A fingerprint is a keyed hash of that, so that two attempts can be told to be
 * alike, in logs, between daemons and in the store, without their content.  The key is
 * that of the deployment: the same on all its daemons and after each start.  It is no
 * cipher: who knows the key can tell whether a guess at a content is right. */
#pragma once

#include "text.h"

typedef struct
{
  guint64 high;
  guint64 low;
} MrFingerprint;

enum
{
  MR_FINGERPRINT_DIGITS = 32,
};

/* Of @count texts in this order; where one ends and the next begins counts. */
MrFingerprint mr_fingerprint_compute (const MrText *texts, guint count, guint64 key);

/* Hexadecimal digits, ended by NUL. */
void mr_fingerprint_write (MrFingerprint fingerprint, char out[MR_FINGERPRINT_DIGITS + 1]);
/* False on anything but what mr_fingerprint_write () writes. */
bool mr_fingerprint_read (MrText text, MrFingerprint *out);

static inline bool
mr_fingerprint_equal (MrFingerprint a, MrFingerprint b)
{
  return a.high == b.high && a.low == b.low;
}

/* For tables whose keys are pointers to fingerprints. */
guint mr_fingerprint_key_hash (gconstpointer key);
gboolean mr_fingerprint_key_equal (gconstpointer a, gconstpointer b);

/* False for a request whose content is not known. */
static inline bool
mr_fingerprint_is_set (MrFingerprint fingerprint)
{
  return fingerprint.high != 0 || fingerprint.low != 0;
}
