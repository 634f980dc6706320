// Derives the options of the daemon's components from the settings.
#ifndef LYNXGLADE_MAIN_DAEMON_OPTIONS_H_
#define LYNXGLADE_MAIN_DAEMON_OPTIONS_H_

#include <memory>
#include <vector>

#include "connection/http_server.h"
#include "connection/tls_material.h"
#include "process/instance_row.h"
#include "process/serving_plane.h"
#include "process/settings.h"
#include "process/view_service.h"
#include "version/configuration_plane.h"

namespace lynxglade {

connection::HttpServerOptions CallerServerOptions(
    const process::Settings& settings);
connection::HttpServerOptions AdminServerOptions(
    const process::Settings& settings);
// Null without --tls-certificate. The files are not read yet.
std::unique_ptr<connection::TlsMaterial> TlsMaterialOf(
    const process::Settings& settings);
process::ServingOptions ServingOptionsOf(const process::Settings& settings);
process::ViewServiceOptions ViewOptionsOf(const process::Settings& settings);
// --seed-peers as rows with placeholder ids. The hello message of the peer at
// the address provides its real id; membership then drops the placeholder.
std::vector<process::InstanceRow> SeedRows(const process::Settings& settings);
version::ConfigurationPlaneOptions ConfigurationOptionsOf(
    const process::Settings& settings);

}  // namespace lynxglade

#endif  // LYNXGLADE_MAIN_DAEMON_OPTIONS_H_
