#pragma once

/// \file headers.h
/// Which HTTP headers travel end to end.

#include <libsoup/soup.h>
#include <limpetcroft/wire.h>

namespace limpet {

/// Returns the headers that are passed on: not the hop-by-hop ones, not the key, not those of this system.
std::vector<header> endToEndHeaders(SoupMessageHeaders* headers);

} // namespace limpet
