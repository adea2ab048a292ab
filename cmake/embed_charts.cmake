# Writes charts/*.yaml as string constants into one source file, because the
# daemon has no files to read at run time. Run with -DOUT= and -DCHARTS=.
set(text "#include \"servers/scheduling/chart_texts.h\"\n\n")
string(APPEND text "namespace quetzalshelf::scheduling::chart_texts {\n\n")
foreach(file ${CHARTS})
  get_filename_component(name ${file} NAME_WE)
  file(READ ${file} content)
  string(APPEND text
    "const char* const ${name} = R\"yaml(${content})yaml\";\n\n")
endforeach()
string(APPEND text "}  // namespace quetzalshelf::scheduling::chart_texts\n")
file(WRITE ${OUT} "${text}")
