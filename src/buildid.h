/**
 * DOC: buildid
 *
 * Which sources a program was built from.
 */
#ifndef LV_BUILDID_H
#define LV_BUILDID_H

/** bld_id() - digest of the sources, the compiler, its flags and the versions
 * of the libraries, see tools/build_id. */
const char *bld_id (void);

#endif
