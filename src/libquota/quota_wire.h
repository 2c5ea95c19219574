#pragma once

// Generated code follows the style of its generator, so the linter treats it as a header of the system.
#pragma GCC system_header
#include "quota_generated.h"
