// Formats answers of the administration API as human-readable text.
#ifndef LYNXGLADE_MAIN_CTL_RENDER_H_
#define LYNXGLADE_MAIN_CTL_RENDER_H_

#include <string>

#include <nlohmann/json.hpp>

namespace lynxglade::ctl {

// Each takes the body of an answer. Missing members are shown as "-".
std::string RenderPlan(const nlohmann::json& body);
std::string RenderPlans(const nlohmann::json& body);
std::string RenderConfirmed(const nlohmann::json& body);
std::string RenderConfig(const nlohmann::json& body);
std::string RenderStatus(const nlohmann::json& body);
std::string RenderContracts(const nlohmann::json& body);
std::string RenderAudit(const nlohmann::json& body);
std::string RenderFleet(const nlohmann::json& body);
std::string RenderInstances(const nlohmann::json& body);
std::string RenderQuarantine(const nlohmann::json& body);
std::string RenderCheck(const nlohmann::json& body);
// Any object: one line per member.
std::string RenderObject(const nlohmann::json& body);

// For {"error":...}; a conflict also lists the changes made since.
std::string RenderError(int status, const nlohmann::json& body);

}  // namespace lynxglade::ctl

#endif  // LYNXGLADE_MAIN_CTL_RENDER_H_
