#ifndef AGENT_ENGINE_REQUEST_H_
#define AGENT_ENGINE_REQUEST_H_

#include <string>

#include "link/start_run.h"

namespace godwit::agent {

// Body of the call to a model engine: the caller's body with the output cap as
// max_tokens, usage asked for, and resume_tokens where the run resumes. A body
// that is no JSON object is left as it is.
std::string EngineRequestBody(const link::StartRun& start);

// True when the body asks for a stream of events.
bool RequestsStream(const std::string& body);

}  // namespace godwit::agent

#endif  // AGENT_ENGINE_REQUEST_H_
