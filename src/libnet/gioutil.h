#pragma once

/// \file gioutil.h
/// Callbacks on a GMainContext, and conversions between GLib's types and ours.

#include <functional>
#include <gio/gio.h>
#include <limpetcroft/gobject.h>
#include <limpetcroft/net.h>
#include <memory>

namespace limpet {

/// Runs the function once on the thread that drives the context.
void post(GMainContext* context, std::function<void()> function);

/// Attaches a source that calls the function while it returns true.
gsource_ptr attach(GMainContext* context, GSource* source, std::function<bool()> function);

/// Attaches a source for conditions on a socket.
gsource_ptr watchSocket(GMainContext* context, GSocket* socket, GIOCondition condition, std::function<bool()> function);

/// Connections that may wait to be accepted. GLib's default is 10: a surge of new connections overflowed it, and each
/// dropped one waits at least a second for its next attempt.
constexpr int listenBacklog = 4096;

/// Returns the GLib form of an address.
gobject_ptr<GSocketAddress> toGlib(const socket_address& address);
socket_address fromGlib(GSocketAddress* address);

/// Takes a GError over into an error of that kind.
error takeError(error_kind kind, GError* problem, const std::string& remedy);

} // namespace limpet
