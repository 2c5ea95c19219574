#pragma once

// Encoding of the messages between nodes.

#include "load_balancing.h"
#include "mesh_generated.h"

namespace limpet::mesh {

std::string encodeFrame(const wire::frame_data& frame);
/// Errors: malformed.
result<wire::frame_data> parseFrame(const std::string& bytes);
std::string encodeStatus(const wire::status_data& status);
/// Errors: malformed.
result<wire::status_data> parseStatus(const std::string& bytes);

std::string encodeBundle(const wire::bundle_data& bundle);
/// Whether a datagram holds a bundle rather than a single status.
bool isBundle(const std::string& bytes);
/// Errors: malformed.
result<wire::bundle_data> parseBundle(const std::string& bytes);

wire::load_report_data packLoad(const endpoint_load& load);
endpoint_load unpackLoad(const wire::load_report_data& load);

using header_rows = std::vector<std::unique_ptr<wire::header_entry_data>>;
header_rows packHeaders(const std::vector<header>& headers);
std::vector<header> unpackHeaders(header_rows&& rows);

} // namespace limpet::mesh
