#include "safeguard.h"

#ifdef MR_TEST_SAFEGUARDS
#include <stdlib.h>

unsigned mr_guards_off;

/* Process tests set a hexadecimal mask of the safeguards to switch off. */
__attribute__ ((constructor)) static void
S_read_environment (void)
{
  const char *mask = getenv ("MERLINRING_GUARDS_OFF");
  if (mask)
    mr_guards_off = (unsigned) strtoul (mask, NULL, 16);
}
#endif

/* A translation unit must not be empty in normal builds. */
typedef int MrSafeguardUnit;
